/** The pace of one stream, and from it the time at which its silence counts as a stall. */

/** Bounds of stall detection, in milliseconds but for the factor. */
export interface PaceOptions {
    /** Silence allowed before the first token of an attempt. */
    readonly firstTokenMilliseconds: number;
    /** Shortest silence that counts as a stall. */
    readonly minimumStallMilliseconds: number;
    /** Longest silence that never counts as a stall. */
    readonly maximumStallMilliseconds: number;
    /** Silence that counts as a stall, in multiples of the stream's mean gap between tokens. */
    readonly stallFactor: number;
}

/** Default bounds. */
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
        private readonly progressedAt: number,
        private readonly hasToken: boolean,
        private readonly meanGap: number | undefined,
    ) {}

    public static create(options: PaceOptions, now: number): StreamPace {
        return new StreamPace(options, now, false, undefined);
    }

    /** A token was delivered. */
    public progressed(now: number): StreamPace {
        if (!this.hasToken) {
            return new StreamPace(this.options, now, true, this.meanGap);
        }
        const gap = now - this.progressedAt;
        const mean = this.meanGap === undefined ? gap : this.meanGap + newestGapWeight * (gap - this.meanGap);
        return new StreamPace(this.options, now, true, mean);
    }

    /** A new attempt begins; the mean gap is kept, since replicas of one model are alike. */
    public restarted(now: number): StreamPace {
        return new StreamPace(this.options, now, false, this.meanGap);
    }

    /** Time at which silence counts as a stall. */
    public stalledAt(): number {
        if (!this.hasToken) {
            return this.progressedAt + this.options.firstTokenMilliseconds;
        }
        const expected = (this.meanGap ?? this.options.maximumStallMilliseconds) * this.options.stallFactor;
        const allowed = Math.min(
            this.options.maximumStallMilliseconds,
            Math.max(this.options.minimumStallMilliseconds, expected),
        );
        return this.progressedAt + allowed;
    }
}
