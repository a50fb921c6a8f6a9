/**
 * Detects that this process did not run for some time. The monotonic clock of a suspended machine stops, so the wall
 * clock is compared as well. A step of the wall clock alone is also taken for a pause; its only cost is a lease that is
 * released and acquired again.
 */

/**
 * Delay from which a pause is assumed and all state counts as stale, in milliseconds: less than the duration of a
 * lease.
 */
const pauseThresholdMilliseconds = 1_000;

/** Result of one check. */
export interface PauseCheck {
    readonly isPaused: boolean;
    /** Time since the previous check, in milliseconds. */
    readonly gapMilliseconds: number;
    /** Change of the wall clock relative to the monotonic clock since the previous check, in milliseconds. */
    readonly stepMilliseconds: number;
}

export class PauseDetector {
    private constructor(
        private lastCheckedAt: number,
        private wallOffset: number,
    ) {}

    /** Starts at the given monotonic and wall time, in milliseconds. */
    public static create(now: number, wallNow: number): PauseDetector {
        return new PauseDetector(now, wallNow - now);
    }

    public check(now: number, wallNow: number): PauseCheck {
        const gapMilliseconds = now - this.lastCheckedAt;
        const stepMilliseconds = Math.abs(wallNow - now - this.wallOffset);
        this.lastCheckedAt = now;
        this.wallOffset = wallNow - now;
        const isPaused =
            gapMilliseconds > pauseThresholdMilliseconds || stepMilliseconds > pauseThresholdMilliseconds;
        return { isPaused, gapMilliseconds, stepMilliseconds };
    }
}
