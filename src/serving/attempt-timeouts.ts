/**
 * Time-outs after which a slow attempt is retried at another replica. Covers replicas that accept requests and never
 * respond: a retryable request has time for a second attempt, but a request that is only queued at a busy group must not
 * lose its place there.
 */
import type { Route } from "./serving-configuration.js";
import { isRetryable } from "./serving-configuration.js";

/** Time-out of an attempt of an idempotent request, as a fraction of the latency objective. */
const idempotentTimeoutObjectives = 0.6;
/** Time-out for the first event of a stream, as a multiple of its expected time. */
const firstEventTimeoutFactor = 4;
/** Minimum time-out for the first event of a stream, as a multiple of the latency objective. */
const minimumFirstEventTimeoutObjectives = 1.5;
/**
 * Maximum time-out for the first event of a stream, as a multiple of the latency objective, while the group makes progress
 * on other streams: the request is probably only queued there.
 */
const queuedTimeoutObjectives = 3;
/**
 * A group counts as making progress if one of its streams had an event within this time, in milliseconds: several
 * event intervals.
 */
export const recentProgressMilliseconds = 300;

/**
 * Time after which an attempt is checked for slowness, in milliseconds; undefined if the request must not be
 * retried.
 */
export function attemptTimeoutMilliseconds(route: Route, expectedMilliseconds: number): number | undefined {
    const { repeatability, objectiveMilliseconds: objective } = route;
    if (!isRetryable(route)) {
        return undefined;
    }
    return repeatability === "idempotent"
        ? idempotentTimeoutObjectives * objective
        : Math.max(
              firstEventTimeoutFactor * expectedMilliseconds,
              minimumFirstEventTimeoutObjectives * objective,
          );
}

/** Time for which a slow attempt may continue, in milliseconds; 0 if the request should be retried elsewhere now. */
export function attemptExtensionMilliseconds(
    route: Route,
    elapsedMilliseconds: number,
    hasProgressElsewhere: boolean,
): number {
    const maximum = queuedTimeoutObjectives * route.objectiveMilliseconds;
    return hasProgressElsewhere ? Math.max(0, maximum - elapsedMilliseconds) : 0;
}
