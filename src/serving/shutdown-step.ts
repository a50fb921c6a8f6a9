/**
 * Decides the steps of a graceful shutdown. Covers callers that the load balancer still sends and requests that are open
 * when the shutdown begins, and requests that wait unread on open connections: none of them ends without a response.
 */

/**
 * Time for which new requests are served, in milliseconds: longer than the load balancer needs for two health checks, and so
 * short that they were sent within three seconds of the signal, also if it was handled late. A request that is sent later may
 * not be complete when the grace period ends.
 */
const servingMilliseconds = 2_800;
/** Part of the grace period for which new requests are served at most. */
const servingFraction = 0.5;
/** Time before the process is killed at which open requests are ended, in milliseconds. */
const requestEndMarginMilliseconds = 400;
/**
 * Time before the process is killed at which it exits by itself, in milliseconds; until then it responds to requests that
 * still arrive.
 */
const exitMarginMilliseconds = 150;

export interface ShutdownFacts {
    /** Time since the shutdown began, in milliseconds. */
    readonly elapsedMilliseconds: number;
    /** Time from the start of the shutdown until the process is killed, in milliseconds. */
    readonly gracePeriodMilliseconds: number;
    /** True if callers have no open connection and can open none. */
    readonly isDrained: boolean;
}

/**
 * "serve": new requests are still served. "finish": new requests are rejected, open requests continue. "end": open requests
 * are ended with an error response. "exit": the process exits.
 */
export type ShutdownStep = "serve" | "finish" | "end" | "exit";

export function decideShutdownStep(facts: ShutdownFacts): ShutdownStep {
    const { elapsedMilliseconds, gracePeriodMilliseconds, isDrained } = facts;
    const remainingMilliseconds = gracePeriodMilliseconds - elapsedMilliseconds;
    const canStillServe = remainingMilliseconds > requestEndMarginMilliseconds;
    const servingEnd = Math.min(servingMilliseconds, servingFraction * gracePeriodMilliseconds);
    if (elapsedMilliseconds < servingEnd && canStillServe) {
        return "serve";
    }
    if (isDrained || remainingMilliseconds <= exitMarginMilliseconds) {
        return "exit";
    }
    return canStillServe ? "finish" : "end";
}
