/** What admission is told of requests and answers about them, and what varies between admissions. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { Fault } from "./errors.js";
import type { RequestQueue } from "./fair-queues.js";
import type { Caller, RequestId } from "./requests.js";

/** What admission must know of a request. */
export interface AdmissionRequest {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly model: string;
    /** Prompt tokens less the expected prefix hit. */
    readonly promptTokens: number;
    /** The most tokens that the answer may have. The mean is charged at the start, the rest as tokens appear. */
    readonly expectedTokens: number;
    readonly deadline: number;
    /** The latest useful start; the deadline less the time that few answers exceed if absent. */
    readonly startBy?: number;
}

/** Answer to an offer. */
export type Offer = { readonly kind: "queued" } | { readonly kind: "refused"; readonly fault: Fault };

/** A request that may start now. */
export interface StartedRequest {
    readonly id: RequestId;
    readonly model: string;
    /** Priority for the engine; lower goes first. Borrowing callers come after all others. */
    readonly priority: number;
    /** True if the caller uses more than its fair part and is given unused capacity only. */
    readonly borrowed: boolean;
}

/** A request given up on before it started. */
export interface Refusal {
    readonly id: RequestId;
    readonly fault: Fault;
}

/** Number of requests of a model that may start now; borrowing callers may get less. */
export type CapacityOf = (model: string, borrowed: boolean) => number;

/** What varies between admissions. */
export interface AdmissionOptions {
    readonly random: RandomNumber;
    /** Order of the waiting requests of one model; `FairQueue.create` unless given. */
    readonly createQueue?: () => RequestQueue;
    /** False to give every caller the same capacity and engine priority. */
    readonly borrowing?: boolean;
    /** False to keep requests whose estimated start is too late. */
    readonly refusesLateStarts?: boolean;
}
