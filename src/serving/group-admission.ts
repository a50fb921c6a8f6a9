/**
 * Decides whether a request goes to a replica group now. Covers overload, when more requests arrive than the groups can
 * begin in time: in a single queue, all would be late. Requests that can still meet their objective go first; others wait
 * behind them for the remaining capacity, as long as their callers wait; the rest are refused at once with a Retry-After.
 */
import type { SharingSubject } from "./fairness/sharing-subject.js";

/**
 * Fraction of a caller's time-out that a deferred request's expected wait may take; later requests that can be in
 * time still go first.
 */
const deferredTimeoutFraction = 0.4;
/** Minimum Retry-After of a refused request, in milliseconds. */
const minimumRetryAfterMilliseconds = 200;

/** Expected times of a request at the best group, in milliseconds. */
export interface AdmissionFacts {
    /** Time to the first event if the request goes before the deferred ones. */
    readonly urgentMilliseconds: number;
    /** Time to the first event behind all requests at the group. */
    readonly deferredMilliseconds: number;
    /** Remaining time until the first event misses the latency objective. */
    readonly objectiveMilliseconds: number;
    /** Remaining time for which the caller waits for the first event. */
    readonly firstEventTimeoutMilliseconds: number;
}

/** Why a request is refused: it would be late, or others are to use the capacity that is left. */
export type RefusalCause = "late" | "share";

export type Admission =
    | { readonly kind: "urgent" }
    | { readonly kind: "deferred" }
    /** `retryAfterMilliseconds`: time until the current backlog has shrunk enough to meet the objective. */
    | {
          readonly kind: "refused";
          readonly retryAfterMilliseconds: number;
          /** "late" by default. */
          readonly cause?: RefusalCause;
      };

/** What admission depends on while capacity is short, besides the expected times. */
export interface AdmissionQuestion extends AdmissionFacts {
    /** True if the best group has a free slot for the request. */
    readonly hasFreeSlot: boolean;
    /** Time by which one more request in the queues of the groups delays the first events of later ones. */
    readonly queueStepMilliseconds: number;
    /** The request; undefined if its sharing of the capacity is not decided here. */
    readonly subject?: SharingSubject;
}

export function decideAdmission(facts: AdmissionFacts): Admission {
    if (facts.urgentMilliseconds <= facts.objectiveMilliseconds) {
        return { kind: "urgent" };
    }
    if (facts.deferredMilliseconds <= deferredTimeoutFraction * facts.firstEventTimeoutMilliseconds) {
        return { kind: "deferred" };
    }
    const excess = facts.deferredMilliseconds - Math.max(0, facts.objectiveMilliseconds);
    return { kind: "refused", retryAfterMilliseconds: Math.max(minimumRetryAfterMilliseconds, excess) };
}

/** Baseline for experiments: all requests go to the groups and wait there in a single queue. */
export function admitAll(): Admission {
    return { kind: "urgent" };
}
