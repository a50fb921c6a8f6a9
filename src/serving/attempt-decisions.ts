/**
 * What to do when an attempt at a replica ended without a whole answer. Pure: the facts go in, the next step comes out.
 * Answers the load of replicas that die, refuse or lose answers while callers wait.
 */
import type { Repeatability } from "./configurations.js";
import { isRepeatable } from "./configurations.js";

/** How an attempt ended. */
export type AttemptOutcome =
    /** No byte can have reached the replica. */
    | "notSent"
    /** The replica states that it did not run the request. */
    | "refused"
    /** The replica answered that it failed. */
    | "failed"
    /** No whole answer came; the replica may have run the request. */
    | "lost";

/** What is known of a request at the end of an attempt. */
export interface AttemptFacts {
    readonly repeatability: Repeatability;
    readonly isResumable: boolean;
    /** Replicas that may have run the request, without those that are known to have ended. */
    readonly runs: number;
    /** Replicas to which bytes of the request went. */
    readonly sends: number;
    readonly maximumAttempts: number;
    /** True if an earlier attempt may have run it. */
    readonly mayHaveRun: boolean;
    /** True if the caller has bytes of the answer. */
    readonly hasBegunAnswer: boolean;
    readonly remainingMilliseconds: number;
    /** True if the window of repeats allows one more. */
    readonly hasBudget: boolean;
}

/** "pass": give the caller the replica's own failure. "cut": end the connection without a clean end. */
export type NextStep = "retry" | "pass" | "refuse" | "unknown" | "cut";

/** Least time in which another attempt can bring something, in milliseconds. */
const leastUsefulMilliseconds = 20;
/** Sends of one request beyond which nothing is tried again, whatever their outcome. */
const maximumSends = 6;

export function decideNextStep(outcome: AttemptOutcome, facts: AttemptFacts): NextStep {
    if (mayRetry(outcome, facts)) {
        return "retry";
    }
    if (facts.hasBegunAnswer) {
        return "cut";
    }
    if (outcome === "failed") {
        return "pass";
    }
    return facts.mayHaveRun ? "unknown" : "refuse";
}

function mayRetry(outcome: AttemptOutcome, facts: AttemptFacts): boolean {
    if (facts.remainingMilliseconds < leastUsefulMilliseconds || facts.sends >= maximumSends) {
        return false;
    }
    if (outcome === "notSent") {
        return true;
    }
    if (!facts.hasBudget) {
        return false;
    }
    if (outcome === "refused") {
        return (isRepeatable(facts) || !facts.mayHaveRun) && facts.sends < facts.maximumAttempts;
    }
    return isRepeatable(facts) && facts.runs < facts.maximumAttempts;
}
