/**
 * Instances: the machines that engines, plain services and entry daemons run on.
 * Source: the platform's instance list, which lags behind reality.
 */
import type { FabricDomainId, FailureDomainId } from "./failure-domains.js";

export type InstanceId = string;

/** What the platform says of an instance; its list lags. */
export type InstanceState = "live" | "leaving";

/** What an instance is for. */
export type InstanceRole = "entry" | "engine" | "service";

/** One machine as the platform's instance list names it. */
export interface Instance {
    readonly id: InstanceId;
    /** Host and port: the peer port of an entry instance, the HTTP port of an engine or plain service. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly fabricDomain: FabricDomainId;
    readonly role: InstanceRole;
    /** The plain service that a "service" instance runs. */
    readonly service?: string;
    readonly state: InstanceState;
}
