/** Requests, decisions and options of admission control. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { Fault } from "./errors.js";
import type { RequestQueue } from "./fair-queue.js";
import type { Caller, RequestId } from "./requests.js";

/** The properties of a request on which admission depends. */
export interface AdmissionRequest {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly model: string;
    /** Prompt tokens minus the tokens expected in the prefix cache. */
    readonly promptTokens: number;
    /**
     * Maximum tokens of the answer. The recent mean, or this maximum if it is less, is charged at the start; the rest
     * is charged as tokens are generated.
     */
    readonly expectedTokens: number;
    readonly deadline: number;
    /**
     * Latest useful start, in local monotonic milliseconds. Default: the deadline minus the service time that few
     * answers exceed, or minus half of the remaining time if that is less.
     */
    readonly startBy?: number;
}

/** Decision on an offered request. */
export type Offer = { readonly kind: "queued" } | { readonly kind: "refused"; readonly fault: Fault };

/** A request taken from the queue for dispatch. */
export interface StartedRequest {
    readonly id: RequestId;
    readonly model: string;
    /** Engine priority; lower goes first. Callers that exceed their fair share come after all others. */
    readonly priority: number;
    /** True if the caller exceeds its fair share and so may use spare capacity only. */
    readonly borrowed: boolean;
}

/** A request refused before it started. */
export interface Refusal {
    readonly id: RequestId;
    readonly fault: Fault;
}

/** Returns how many requests of a model may start now; fewer for callers that exceed their fair share. */
export type CapacityOf = (model: string, borrowed: boolean) => number;

/** Options of an Admission. */
export interface AdmissionOptions {
    readonly random: RandomNumber;
    /** Creates the queue of one model; `FairQueue.create` by default. */
    readonly createQueue?: () => RequestQueue;
    /** False to give every caller the same capacity and engine priority. */
    readonly borrowing?: boolean;
    /** False to queue requests even if their estimated start is too late. */
    readonly refusesLateStarts?: boolean;
}
