/**
 * Detects pauses of the process. After a pause, messages that waited for the process look new although they may be as
 * old as the pause, and every deadline may have passed.
 */

/** Gap in activity, in milliseconds, above which the process counts as paused and health as stale. */
export const pauseThresholdMilliseconds = 5_000;
/** Gap in activity, in milliseconds, above which waiting messages are older than their stated ages. */
const stallThresholdMilliseconds = 600;
/** Time after a gap during which messages that arrived before its end may still be handled, in milliseconds. */
const backlogWindowMilliseconds = 2_000;

/** Measures the gaps in the activity of the process. */
export class PauseDetector {
    private backlogAge = 0;
    private backlogUntil = 0;

    private constructor(private activeAt: number) {}

    public static create(now: number): PauseDetector {
        return new PauseDetector(now);
    }

    /**
     * Records activity; returns the length in milliseconds of the pause that has just ended, if it made health stale.
     */
    public recordActivity(now: number): number | undefined {
        const gap = now - this.activeAt;
        this.activeAt = now;
        if (gap > stallThresholdMilliseconds) {
            this.backlogAge = Math.max(gap, now < this.backlogUntil ? this.backlogAge : 0);
            this.backlogUntil = now + backlogWindowMilliseconds;
        }
        return gap > pauseThresholdMilliseconds ? gap : undefined;
    }

    /** Returns the earliest local time at which a message that is handled now can have arrived. */
    public arrivalTime(now: number): number {
        return now < this.backlogUntil ? now - this.backlogAge : now;
    }
}
