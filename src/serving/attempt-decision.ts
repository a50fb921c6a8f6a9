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
    readonly remainingMilliseconds: number;
    /** True if the retry budget allows one more attempt. */
    readonly hasRetryBudget: boolean;
}

/**
 * "retry": try another replica. "pass": relay the replica's error response to the caller. "refuse": state that no replica
 * ran the request. "unknown": state that a replica may have run it. "cut": abort the connection within the response.
 */
export type NextStep = "retry" | "pass" | "refuse" | "unknown" | "cut";

/** Minimum remaining time in which another attempt can succeed, in milliseconds. */
const minimumAttemptMilliseconds = 20;
/** Maximum number of attempts of one request on any route, including attempts that sent no byte. */
const maximumAttemptCount = 6;

export function decideNextStep(outcome: AttemptOutcome, facts: AttemptFacts): NextStep {
    if (canRetry(outcome, facts)) {
        return "retry";
    }
    if (facts.hasBegunResponse) {
        return "cut";
    }
    if (outcome === "failed") {
        return "pass";
    }
    return facts.mayHaveRun ? "unknown" : "refuse";
}

function canRetry(outcome: AttemptOutcome, facts: AttemptFacts): boolean {
    if (
        facts.remainingMilliseconds < minimumAttemptMilliseconds ||
        facts.attemptCount >= maximumAttemptCount
    ) {
        return false;
    }
    if (outcome === "notSent" || outcome === "withheld") {
        return true;
    }
    if (!facts.hasRetryBudget) {
        return false;
    }
    if (outcome === "refused") {
        return (isRetryable(facts) || !facts.mayHaveRun) && facts.attemptCount < facts.maximumAttempts;
    }
    return isRetryable(facts) && facts.possibleRuns < facts.maximumAttempts;
}
