/** Endpoints: instances that run requests (engines and plain services), and their health reports. */
import type { InstanceId } from "./instances.js";
import type { ModelVersion, ReplicaGroupId } from "./replica-groups.js";

/** State that an engine reports. */
export type EngineState = "idle" | "loading" | "ready" | "serving" | "draining";

/** Load that an endpoint reports; it lags behind the actual load. */
export interface EndpointLoad {
    readonly running: number;
    readonly waiting: number;
    /** Requests the endpoint can run at once; 0 for an endpoint that is not a leader. */
    readonly slots: number;
}

/** Response of an endpoint to a probe. Reports are ordered by (incarnation, sequence). */
export interface EndpointReport {
    readonly instance: InstanceId;
    /** Increases each time the endpoint's process starts. */
    readonly incarnation: number;
    /** Increases with each report of one incarnation. */
    readonly sequence: number;
    readonly state: EngineState;
    readonly group?: ReplicaGroupId;
    readonly epoch: number;
    /** True once the endpoint was notified that it must leave. */
    readonly leaving: boolean;
    readonly load: EndpointLoad;
    /** Model versions whose weights are in this instance's memory. */
    readonly warm: readonly ModelVersion[];
}

/** The latest report of an endpoint, and the time until which the endpoint counts as healthy. */
export interface EndpointHealth {
    readonly report: EndpointReport;
    /** Local monotonic milliseconds; without a newer report the endpoint does not count as healthy after this time. */
    readonly healthyUntil: number;
}

/** Returns true if `next` is newer than `known`. Both are reports of one endpoint. */
export function isLaterReport(next: EndpointReport, known: EndpointReport | undefined): boolean {
    if (known === undefined) {
        return true;
    }
    if (next.incarnation !== known.incarnation) {
        return next.incarnation > known.incarnation;
    }
    return next.sequence > known.sequence;
}
