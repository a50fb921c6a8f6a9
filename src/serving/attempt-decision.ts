/**
 * Decides the next step after an attempt at a replica ended without a complete response, by a pure function. Covers
 * replicas that die, refuse requests or lose responses while callers wait.
 */
import type { Repeatability } from "./serving-configuration.js";
import { isRetryable } from "./serving-configuration.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /** No byte can have reached the replica. */
    | "notSent"
    /** The request was held back because the replica wants no further requests; no byte was sent. */
    | "withheld"
    /** The replica states that it did not run the request. */
    | "refused"
    /** The replica responded with an error. */
    | "failed"
    /** The reused connection closed at once: the replica had probably dropped it, and is not known to have run the request. */
    | "dropped"
    /** No complete response arrived; the replica may have run the request. */
    | "lost";

/** What is known of a request at the end of an attempt. */
export interface AttemptFacts {
    readonly repeatability: Repeatability;
    readonly isResumable: boolean;
    /** Number of replicas that may have run the request, without those whose run is known to have ended. */
    readonly possibleRuns: number;
    /** Number of attempts so far, whatever their outcome. */
    readonly attemptCount: number;
    readonly maximumAttempts: number;
    /** True if an attempt may have run the request. */
    readonly mayHaveRun: boolean;
    /** True if the caller has received bytes of the response. */
    readonly hasBegunResponse: boolean;
    /** True if an earlier attempt, at a silent replica, still continues; it counts as a possible run. */
    readonly hasSilentAttempt: boolean;
    readonly remainingMilliseconds: number;
    /** True if the retry budget allows one more attempt. */
    readonly hasRetryBudget: boolean;
    /** True if the request may have crashed the replica, and is likely to crash the next one. */
    readonly mayCrashAnotherReplica: boolean;
}

/**
 * "retry": try another replica. "wait": continue with the earlier attempt, whose replica may only be silent. "postpone": try
 * again when the retry budget allows it. "pass": relay the replica's error response to the caller. "refuse": state that no
 * replica ran the request. "unknown": state that a replica may have run it. "cut": abort the connection within the response.
 */
export type NextStep = "retry" | "wait" | "postpone" | "pass" | "refuse" | "unknown" | "cut";

/** Minimum remaining time in which another attempt can succeed, in milliseconds. */
const minimumAttemptMilliseconds = 20;
/**
 * Maximum number of attempts of one request on any route before its response begins, including attempts that sent no byte.
 */
const maximumAttemptCount = 6;
/** Delay before a stream is resumed after the second refusal in a row, in milliseconds; doubles with each further one. */
const resumeDelayStepMilliseconds = 40;
const maximumResumeDelayMilliseconds = 320;

export function decideNextStep(outcome: AttemptOutcome, facts: AttemptFacts): NextStep {
    if (canRetry(outcome, facts)) {
        return "retry";
    }
    if (facts.hasSilentAttempt) {
        return "wait";
    }
    if (facts.hasBegunResponse && canRetry(outcome, { ...facts, hasRetryBudget: true })) {
        return "postpone";
    }
    if (facts.hasBegunResponse) {
        return "cut";
    }
    if (outcome === "failed") {
        return "pass";
    }
    return facts.mayHaveRun ? "unknown" : "refuse";
}

/**
 * True if a request whose replica is silent may be tried at another one meanwhile. Covers replicas that have died and those
 * that only fall silent for a while: ending an attempt for its silence would lose a response that is still coming.
 */
export function mayTryElsewhere(facts: AttemptFacts): boolean {
    return !facts.hasSilentAttempt && canRetry("lost", { ...facts, possibleRuns: facts.possibleRuns + 1 });
}

/**
 * Delay before the next attempt of a stream that has begun, in milliseconds, after `refusals` replicas in a row did not
 * take it. Covers replicas that are full or being replaced for a moment: the first refusal leads to another replica at once.
 */
export function resumeDelayMilliseconds(refusals: number): number {
    const doublings = Math.max(0, refusals - 1);
    return Math.min(maximumResumeDelayMilliseconds, resumeDelayStepMilliseconds * (2 ** doublings - 1));
}

function canRetry(outcome: AttemptOutcome, facts: AttemptFacts): boolean {
    if (facts.mayCrashAnotherReplica) {
        return false;
    }
    // Only a stream can go on within the response that its caller has begun to receive.
    if (facts.hasBegunResponse && facts.repeatability !== "stream") {
        return false;
    }
    const hasAttempts = facts.hasBegunResponse || facts.attemptCount < maximumAttemptCount;
    if (facts.remainingMilliseconds < minimumAttemptMilliseconds || !hasAttempts) {
        return false;
    }
    if ((outcome === "notSent" || outcome === "withheld") && !facts.hasBegunResponse) {
        return true;
    }
    if (!facts.hasRetryBudget) {
        return false;
    }
    if (outcome === "refused" && !facts.hasBegunResponse) {
        return (isRetryable(facts) || !facts.mayHaveRun) && facts.attemptCount < facts.maximumAttempts;
    }
    // A replica that refused to resume a stream has not run it.
    return isRetryable(facts) && facts.possibleRuns < facts.maximumAttempts;
}
