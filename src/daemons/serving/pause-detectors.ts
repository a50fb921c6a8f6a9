/**
 * Notices that this process did not run for a while. A suspended machine's monotonic clock stands still, so the wall
 * clock is compared as well; a mere step of the wall clock costs a lease that is taken again.
 */

/** Delay after which all that is known counts as old, in milliseconds: less than a lease lives. */
const lateMilliseconds = 1_000;

/** What one look found. */
export interface PauseCheck {
    readonly isPaused: boolean;
    /** Time since the look before, in milliseconds. */
    readonly gapMilliseconds: number;
    /** Change of the wall clock against the monotonic clock since then, in milliseconds. */
    readonly stepMilliseconds: number;
}

export class PauseDetector {
    private constructor(
        private checkedAt: number,
        private wallOffset: number,
    ) {}

    /** Starts at the given monotonic and wall time, in milliseconds. */
    public static create(now: number, wall: number): PauseDetector {
        return new PauseDetector(now, wall - now);
    }

    public check(now: number, wall: number): PauseCheck {
        const gapMilliseconds = now - this.checkedAt;
        const stepMilliseconds = Math.abs(wall - now - this.wallOffset);
        this.checkedAt = now;
        this.wallOffset = wall - now;
        const isPaused = gapMilliseconds > lateMilliseconds || stepMilliseconds > lateMilliseconds;
        return { isPaused, gapMilliseconds, stepMilliseconds };
    }
}
