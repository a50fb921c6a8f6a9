/**
 * What a stopping process does when. Answers the load of callers that the balancer still sends, and of requests that are
 * open when the process is told to end: none of them is cut off without an answer.
 */

/** Time in which the balancer still sends callers, in milliseconds: two of its looks and one more. */
const balancerMilliseconds = 3_000;
/** Time before the process is killed at which it ends by itself, in milliseconds: the last answers have to leave. */
const marginMilliseconds = 400;

export interface ShutdownFacts {
    /** Time since the process was told to stop, in milliseconds. */
    readonly stoppingMilliseconds: number;
    /** Time from the notice until the process is killed, in milliseconds. */
    readonly allowedMilliseconds: number;
    readonly openRequests: number;
}

/**
 * "serve": callers that still come are served. "finish": no more are taken, and those that are open go on. "end": what is
 * open is given up with an answer, and the process ends.
 */
export type ShutdownStep = "serve" | "finish" | "end";

export function decideShutdownStep(facts: ShutdownFacts): ShutdownStep {
    const { stoppingMilliseconds, allowedMilliseconds, openRequests } = facts;
    if (stoppingMilliseconds >= allowedMilliseconds - marginMilliseconds) {
        return "end";
    }
    if (stoppingMilliseconds < balancerMilliseconds) {
        return "serve";
    }
    return openRequests > 0 ? "finish" : "end";
}
