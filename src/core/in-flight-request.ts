/** Requests in flight from one entry: the group of each and the time of its last token. */
import type { ReplicaGroupId } from "./replica-groups.js";

/** One request in flight. */
export interface InFlightRequest {
    readonly group: ReplicaGroupId;
    readonly model: string;
    /** Local monotonic milliseconds. */
    lastTokenAt: number | undefined;
    /** Prompt tokens still to be processed; 0 after the first generated token. */
    prefillTokens: number;
}

/** How a request in flight ended; "abandoned" is no evidence about the replica. */
export type InFlightOutcome = "finished" | "failed" | "abandoned";
