/**
 * Time of a process's next tick. Covers deployments of hundreds of processes, most of which have nothing due for most of the
 * time: ticks at a fixed short interval would take a large part of a small machine.
 */

/** Interval between ticks while orders to engines may be due, in milliseconds; also the minimum interval. */
export const minimumTickMilliseconds = 25;
/** Maximum interval between ticks, in milliseconds: half of the silence that the detector of stalled groups allows. */
const maximumTickMilliseconds = 100;

/** What a process waits for; times are local monotonic milliseconds. */
export interface TickFacts {
    /** True while this process places groups or shuts down. */
    readonly isBusy: boolean;
    /** Next time at which a silent group is due for a check. */
    readonly nextCheckAt: number;
    /** Next time at which the peers are due for a message. */
    readonly nextMessageAt: number;
}

/** Returns the delay until the next tick in milliseconds. */
export function tickDelayMilliseconds(facts: TickFacts, now: number): number {
    if (facts.isBusy) {
        return minimumTickMilliseconds;
    }
    const due = Math.min(facts.nextCheckAt, facts.nextMessageAt) - now;
    return Math.min(maximumTickMilliseconds, Math.max(minimumTickMilliseconds, due));
}
