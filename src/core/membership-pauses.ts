/**
 * Notices that the process was paused. After a pause, messages that had waited for the process look fresh although they
 * are as old as the pause, and every deadline may have passed.
 */

/** A gap between two signs of activity above this many milliseconds is a pause after which health is stale. */
export const lateTickMilliseconds = 5_000;
/** A gap above this many milliseconds makes waiting messages older than they say. */
const stallMilliseconds = 600;
/** Time after a gap in which messages from before its end may still come up, in milliseconds. */
const backlogMilliseconds = 2_000;

/** Watches the gaps between signs of activity. */
export class PauseDetector {
    private backlogAge = 0;
    private backlogUntil = 0;

    private constructor(private activeAt: number) {}

    public static create(now: number): PauseDetector {
        return new PauseDetector(now);
    }

    /** Takes a sign of activity; returns the length of the pause that has just ended, if it was a long one. */
    public notice(now: number): number | undefined {
        const gap = now - this.activeAt;
        this.activeAt = now;
        if (gap > stallMilliseconds) {
            this.backlogAge = Math.max(gap, now < this.backlogUntil ? this.backlogAge : 0);
            this.backlogUntil = now + backlogMilliseconds;
        }
        return gap > lateTickMilliseconds ? gap : undefined;
    }

    /** The earliest time at which a message that is handled now can have arrived. */
    public arrivalTime(now: number): number {
        return now < this.backlogUntil ? now - this.backlogAge : now;
    }
}
