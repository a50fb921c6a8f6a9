/** Endpoints: instances that do work for requests (engines and plain services), and reports of their health. */
import type { InstanceId } from "./instances.js";
import type { ModelVersion, ReplicaGroupId } from "./replica-groups.js";

/** What an engine says it does. */
export type EngineState = "idle" | "loading" | "ready" | "serving" | "draining";

/** Load as an endpoint reports it; the report lags. */
export interface EndpointLoad {
    readonly running: number;
    readonly waiting: number;
    /** Requests the endpoint can run at once; 0 for an endpoint that is not a leader. */
    readonly slots: number;
}

/** One answer of an endpoint to a probe. Ordered by (incarnation, sequence). */
export interface EndpointReport {
    readonly instance: InstanceId;
    /** Raised each time the endpoint's process starts. */
    readonly incarnation: number;
    /** Raised at each report of one incarnation. */
    readonly sequence: number;
    readonly state: EngineState;
    readonly group?: ReplicaGroupId;
    readonly epoch: number;
    /** True once the endpoint has been told to leave. */
    readonly leaving: boolean;
    readonly load: EndpointLoad;
    /** Model versions whose weights are in this instance's memory. */
    readonly warm: readonly ModelVersion[];
}

/** The latest report of an endpoint, with the local time until which it counts as healthy. */
export interface EndpointHealth {
    readonly report: EndpointReport;
    /** Local monotonic milliseconds; after it, silence is not health. */
    readonly healthyUntil: number;
}

/** Returns true if `next` is later than `known` for the same endpoint. */
export function isLaterReport(next: EndpointReport, known: EndpointReport | undefined): boolean {
    if (known === undefined) {
        return true;
    }
    if (next.incarnation !== known.incarnation) {
        return next.incarnation > known.incarnation;
    }
    return next.sequence > known.sequence;
}
