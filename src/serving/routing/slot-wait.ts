/**
 * Decides how long a request that a full replica of a plain service has rejected waits before its last attempt. Covers replicas
 * whose few slots are shared by many entry instances: sent at once, the last attempt meets the same crowd as the first.
 */

/** Wait as a multiple of the mean response time of a replica: some of its slots become free meanwhile. */
const waitLatencies = 0.5;

export interface SlotWaitFacts {
    /** Number of attempts of the request so far. */
    readonly attemptCount: number;
    readonly maximumAttempts: number;
    /** Mean response time of the replica that rejected the request, in milliseconds; 0 if unknown. */
    readonly latencyMilliseconds: number;
    /** Remaining time until the request misses its objective. */
    readonly objectiveMilliseconds: number;
    /** Number in [0, 1), so that requests that were rejected together are not sent together. */
    readonly random: number;
}

/** Returns the wait in milliseconds; 0 if there is no last attempt, or the request would miss its objective. */
export function slotWaitMilliseconds(facts: SlotWaitFacts): number {
    const { attemptCount, maximumAttempts, latencyMilliseconds, objectiveMilliseconds, random } = facts;
    const wait = waitLatencies * latencyMilliseconds * (0.5 + random);
    const isLast = attemptCount === maximumAttempts - 1;
    return isLast && wait + latencyMilliseconds < objectiveMilliseconds ? wait : 0;
}
