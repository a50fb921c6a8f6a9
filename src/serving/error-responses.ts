/**
 * Error responses that this system generates instead of relaying a replica's. Covers replicas that are overloaded, paused or
 * being replaced: a caller learns whether its request may have run, and when a retry can succeed. The times vary at random,
 * so that callers that were refused together do not return together.
 */
import type { AttemptChoice } from "./dispatcher.js";
import type { RefusalCause } from "./group-admission.js";

/** Default Retry-After of a refused request, in milliseconds, before it is varied at random. */
const defaultRetryAfterMilliseconds = 400;
/**
 * Retry-After while no replica can take the request, in milliseconds: about the time to form a group from hosts
 * with the weights.
 */
const noReplicaRetryAfterMilliseconds = 1_500;
/** Maximum Retry-After, as a fraction of the time that remains until the caller's deadline. */
const maximumRetryAfterFraction = 1 / 3;

/** Time after which a refused caller should retry, before it is varied at random. */
export interface RetryAfter {
    readonly milliseconds: number;
    /** True if an earlier retry cannot succeed. */
    readonly isEarliest?: boolean;
    /** True if the time is the caller's own and is not varied. */
    readonly isExact?: boolean;
}

/** Why a request is refused that no replica has run. */
export interface Refusal {
    readonly reason: string;
    readonly retryAfter: RetryAfter;
    /** Present if the groups have more work than they can begin in time. */
    readonly shortage?: RefusalCause;
}

export interface ErrorResponse {
    /** HTTP status. */
    readonly status: number;
    /** How the request ended, as the body, the logs and the metrics name it. */
    readonly outcome: string;
    readonly reason: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
}

/** Refusal after the last attempt ended for `reason`; `milliseconds`: time after which a retry can succeed, if known. */
export function refusalAfterAttempt(reason: string, milliseconds?: number): Refusal {
    const retryAfter =
        milliseconds === undefined
            ? { milliseconds: defaultRetryAfterMilliseconds }
            : { milliseconds, isEarliest: true };
    return { reason, retryAfter };
}

/** Refusal of a request for which no replica was chosen. */
export function refusalWithoutTarget(choice: Exclude<AttemptChoice, { readonly kind: "target" }>): Refusal {
    switch (choice.kind) {
        case "overloaded":
            return {
                reason: overloadReason(choice),
                retryAfter: { milliseconds: choice.retryAfterMilliseconds },
                shortage: choice.cause ?? "late",
            };
        case "paused":
            return {
                reason: "all replicas want no further requests for now",
                retryAfter: { milliseconds: choice.retryAfterMilliseconds, isEarliest: true },
            };
        case "none":
            return {
                reason: "no replica can take the request",
                retryAfter: { milliseconds: noReplicaRetryAfterMilliseconds },
            };
    }
}

function overloadReason({
    cause,
    expectedMilliseconds,
}: Extract<AttemptChoice, { readonly kind: "overloaded" }>): string {
    return cause === "share"
        ? "capacity is short and is kept for other requests"
        : `the first event is expected after ${Math.round(expectedMilliseconds)} ms`;
}

/**
 * Retry-After of a refused request, in milliseconds. `random` is from [0, 1); `remainingMilliseconds` is the time until the
 * caller's own deadline, of which most is left for the retry.
 */
export function retryAfterMilliseconds(
    retryAfter: RetryAfter,
    random: number,
    remainingMilliseconds: number,
): number {
    const maximum = maximumRetryAfterFraction * Math.max(0, remainingMilliseconds);
    return Math.min(variedMilliseconds(retryAfter, random), maximum);
}

function variedMilliseconds(
    { milliseconds, isEarliest = false, isExact = false }: RetryAfter,
    random: number,
): number {
    if (isExact) {
        return milliseconds;
    }
    return milliseconds * (isEarliest ? 1 + random / 4 : 0.75 + random / 2);
}

/** States that no replica ran the request. Parameters as in `retryAfterMilliseconds`. */
export function refusedResponse(
    { reason, retryAfter }: Refusal,
    random: number,
    remainingMilliseconds: number,
): ErrorResponse {
    const seconds = retryAfterMilliseconds(retryAfter, random, remainingMilliseconds) / 1000;
    return { status: 503, outcome: "refused", reason, headers: ["Retry-After", seconds.toFixed(2)] };
}

/**
 * Refuses a request whose repetitions crash replicas, until `remainingMilliseconds` have passed; `random` is from [0, 1). Unlike
 * other refusals, it may name a time after the caller's deadline, since an earlier retry cannot succeed.
 */
export function quarantinedResponse(
    mayHaveRun: boolean,
    random: number,
    remainingMilliseconds: number,
): ErrorResponse {
    const reason = "requests like this one crash replicas; change it or retry later";
    if (mayHaveRun) {
        return unknownResponse(reason);
    }
    const retryAfter = { milliseconds: remainingMilliseconds, isEarliest: true };
    const seconds = Math.ceil(variedMilliseconds(retryAfter, random) / 1000);
    return { status: 503, outcome: "refused", reason, headers: ["Retry-After", String(seconds)] };
}

/** States that a replica may have run the request, whose response was lost. */
export function unknownResponse(reason: string): ErrorResponse {
    return { status: 502, outcome: "failed", reason, headers: [] };
}

/** States that the request ended by its deadline or with this process. */
export function expiredResponse(reason: string, mayHaveRun: boolean): ErrorResponse {
    return { status: mayHaveRun ? 504 : 503, outcome: "expired", reason, headers: [] };
}
