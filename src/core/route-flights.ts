/** Requests in flight from one entry: at which group each is, and when its last token came. */
import type { ReplicaGroupId } from "./replica-groups.js";

/** One request in flight. */
export interface Flight {
    readonly group: ReplicaGroupId;
    readonly model: string;
    /** Local monotonic milliseconds. */
    lastTokenAt: number | undefined;
    /** Prompt tokens that are to be processed before the first token; 0 after it. */
    prefillTokens: number;
}

/** How a flight ended; "abandoned" says nothing about the replica. */
export type FlightOutcome = "finished" | "failed" | "abandoned";
