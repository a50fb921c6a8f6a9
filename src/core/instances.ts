/**
 * Instances: the machines that engines, plain services and entry daemons run on.
 * Source: the platform's instance list, which lags behind the actual state.
 */
import type { FabricDomainId, FailureDomainId } from "./failure-domains.js";

export type InstanceId = string;

/** State of an instance in the platform's list, which lags behind the actual state. */
export type InstanceState = "live" | "leaving";

/** Purpose of an instance. */
export type InstanceRole = "entry" | "engine" | "service";

/** One machine of the platform's instance list. */
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
