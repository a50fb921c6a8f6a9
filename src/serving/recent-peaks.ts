/** Largest count of the last while, so that a plan does not shrink with each of several losses. */

/** Time after which a peak is forgotten, in milliseconds: lost instances are back, or replaced and loaded, by then. */
const rememberedMilliseconds = 30_000;

export class RecentPeak {
    private peak = 0;
    private reachedAt = 0;

    private constructor() {}

    public static create(): RecentPeak {
        return new RecentPeak();
    }

    /** Takes the present count and returns the peak; `now` is in local monotonic milliseconds. */
    public note(count: number, now: number): number {
        if (count >= this.peak || now - this.reachedAt > rememberedMilliseconds) {
            this.peak = count;
            this.reachedAt = now;
        }
        return this.peak;
    }
}
