/** Clocks and random numbers, injected so that tests can run in virtual time. */

/** Monotonic clock for deadlines, and wall clock for key windows, logs and the timeline only. */
export interface Clock {
    readonly monotonicMilliseconds: () => number;
    readonly wallMilliseconds: () => number;
}

/** Returns a uniform number in [0, 1). */
export type RandomNumber = () => number;
