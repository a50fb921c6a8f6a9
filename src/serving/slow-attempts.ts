/**
 * How long an attempt may take before the request is tried elsewhere. Answers the load of replicas that accept requests
 * and never answer them: for a request that may be repeated there is time for a second try, but one that only waits its
 * turn at a busy group must not lose its place.
 */
import type { Route } from "./configurations.js";
import { isRepeatable } from "./configurations.js";

/** Part of the objective after which an idempotent request is tried elsewhere. */
const hedgePart = 0.6;
/** Factor on the expected time of a first event after which a stream is tried elsewhere. */
const firstEventFactor = 4;
/** Shortest such time, in objectives. */
const firstEventObjectives = 1.5;
/** The same, in objectives, while the group works on other streams: the request is probably only queued there. */
const queuedObjectives = 3;
/** Age up to which an event of another stream shows that a group works, in milliseconds: several events' time. */
export const progressMilliseconds = 300;

/** Time after which an attempt is looked at, in milliseconds; undefined if it is never given up for being slow. */
export function attemptPatience(route: Route, expectedMilliseconds: number): number | undefined {
    const { repeatability, objectiveMilliseconds: objective } = route;
    if (!isRepeatable(route)) {
        return undefined;
    }
    return repeatability === "idempotent"
        ? hedgePart * objective
        : Math.max(firstEventFactor * expectedMilliseconds, firstEventObjectives * objective);
}

/** Time for which a slow attempt may go on, in milliseconds; 0 if the request should be tried elsewhere now. */
export function furtherPatience(
    route: Route,
    elapsedMilliseconds: number,
    hasProgressElsewhere: boolean,
): number {
    const longest = queuedObjectives * route.objectiveMilliseconds;
    return hasProgressElsewhere ? Math.max(0, longest - elapsedMilliseconds) : 0;
}
