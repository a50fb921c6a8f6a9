/** Stall detection for one stream, based on the mean gap between its tokens. */

/** Settings of stall detection. All are in milliseconds, except for the factor. */
export interface PaceOptions {
    /** Time-out for the first token of an attempt. */
    readonly firstTokenMilliseconds: number;
    /** Lower bound of the silence that counts as a stall. */
    readonly minimumStallMilliseconds: number;
    /** Upper bound of the silence that counts as a stall. */
    readonly maximumStallMilliseconds: number;
    /** Silence that counts as a stall, in multiples of the stream's mean gap between tokens. */
    readonly stallFactor: number;
}

/** Default settings of stall detection. */
export const defaultPaceOptions: PaceOptions = {
    firstTokenMilliseconds: 10_000,
    minimumStallMilliseconds: 500,
    maximumStallMilliseconds: 5_000,
    stallFactor: 20,
};

// Weight of the newest gap in the exponentially weighted mean.
const newestGapWeight = 0.2;

/** Exponentially weighted mean of the gaps between tokens. Times are local monotonic milliseconds. */
export class StreamPace {
    private constructor(
        private readonly options: PaceOptions,
        private readonly lastProgressAt: number,
        private readonly hasToken: boolean,
        private readonly meanGap: number | undefined,
    ) {}

    public static create(options: PaceOptions, now: number): StreamPace {
        return new StreamPace(options, now, false, undefined);
    }

    /** Returns the pace after a token was delivered. */
    public afterToken(now: number): StreamPace {
        if (!this.hasToken) {
            return new StreamPace(this.options, now, true, this.meanGap);
        }
        const gap = now - this.lastProgressAt;
        const mean = this.meanGap === undefined ? gap : this.meanGap + newestGapWeight * (gap - this.meanGap);
        return new StreamPace(this.options, now, true, mean);
    }

    /** Returns the pace for a new attempt. The mean gap is kept, since replicas of one model generate at a similar pace. */
    public afterRestart(now: number): StreamPace {
        return new StreamPace(this.options, now, false, this.meanGap);
    }

    /** Time at which the stream counts as stalled if no token arrives before. */
    public stalledAt(): number {
        if (!this.hasToken) {
            return this.lastProgressAt + this.options.firstTokenMilliseconds;
        }
        const expected = (this.meanGap ?? this.options.maximumStallMilliseconds) * this.options.stallFactor;
        const allowedSilence = Math.min(
            this.options.maximumStallMilliseconds,
            Math.max(this.options.minimumStallMilliseconds, expected),
        );
        return this.lastProgressAt + allowedSilence;
    }
}
