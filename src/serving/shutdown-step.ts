/**
 * Decides the steps of a graceful shutdown. Covers callers that the load balancer still sends and requests that are open
 * when the shutdown begins: none of them ends without a response.
 */

/**
 * Time for which the load balancer may still send callers, in milliseconds: two of its health checks and one more
 * as a margin.
 */
const balancerDetectionMilliseconds = 3_000;
/**
 * Time before the process is killed at which it exits by itself, in milliseconds, so that the last responses can be
 * sent.
 */
const exitMarginMilliseconds = 400;

export interface ShutdownFacts {
    /** Time since the shutdown began, in milliseconds. */
    readonly elapsedMilliseconds: number;
    /** Time from the start of the shutdown until the process is killed, in milliseconds. */
    readonly gracePeriodMilliseconds: number;
    readonly openRequests: number;
}

/**
 * "serve": new requests are still served. "finish": new requests are rejected, open requests continue. "end": open requests
 * are ended with an error response, and the process exits.
 */
export type ShutdownStep = "serve" | "finish" | "end";

export function decideShutdownStep(facts: ShutdownFacts): ShutdownStep {
    const {
        elapsedMilliseconds: stoppingMilliseconds,
        gracePeriodMilliseconds: allowedMilliseconds,
        openRequests,
    } = facts;
    if (stoppingMilliseconds >= allowedMilliseconds - exitMarginMilliseconds) {
        return "end";
    }
    if (stoppingMilliseconds < balancerDetectionMilliseconds) {
        return "serve";
    }
    return openRequests > 0 ? "finish" : "end";
}
