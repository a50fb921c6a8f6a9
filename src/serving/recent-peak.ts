/** Remembers the largest recent count, so that a plan does not shrink with each of several losses. */

/** Time after which a peak expires, in milliseconds: by then lost instances are back, or replaced and loaded. */
const peakLifetimeMilliseconds = 30_000;

export class RecentPeak {
    private peak = 0;
    private reachedAt = 0;

    private constructor() {}

    public static create(): RecentPeak {
        return new RecentPeak();
    }

    /** Records the present count and returns the peak; `now` is in local monotonic milliseconds. */
    public record(count: number, now: number): number {
        if (count >= this.peak || now - this.reachedAt > peakLifetimeMilliseconds) {
            this.peak = count;
            this.reachedAt = now;
        }
        return this.peak;
    }
}
