/** Clocks and random numbers, passed in so that tests run in virtual time. */

/** Two clocks: monotonic for deadlines; wall for key windows, logs and the time line only. */
export interface Clock {
    readonly monotonicMilliseconds: () => number;
    readonly wallMilliseconds: () => number;
}

/** Returns a uniform number in [0, 1). */
export type RandomNumber = () => number;
