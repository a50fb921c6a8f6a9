/** Rate limit that keeps the weight loads that one placer begins within its share of the weight store's rate. */

export interface LoadRateLimiterOptions {
    readonly loadsPerSecond: number;
    /** Maximum loads that may begin at once after an idle time. */
    readonly burst: number;
    /** Local monotonic milliseconds until which loads are not rate-limited. */
    readonly unlimitedUntil: number;
}

/** Token bucket that starts empty, since the previous placer may have begun loads just before. */
export class LoadRateLimiter {
    private tokens = 0;

    private constructor(
        private readonly options: LoadRateLimiterOptions,
        private updatedAt: number,
    ) {}

    public static create(options: LoadRateLimiterOptions, now: number): LoadRateLimiter {
        return new LoadRateLimiter(options, now);
    }

    /** True while loads are not rate-limited. */
    public isUnlimited(now: number): boolean {
        return now < this.options.unlimitedUntil;
    }

    /** Returns the token of a load that did not begin. */
    public returnToken(): void {
        this.tokens = Math.min(this.options.burst, this.tokens + 1);
    }

    /** Takes tokens for `loads` loads; takes none and returns false if less than one token is available. */
    public tryTake(loads: number, now: number): boolean {
        if (this.isUnlimited(now)) {
            return true;
        }
        const earned = ((now - this.updatedAt) / 1000) * this.options.loadsPerSecond;
        this.tokens = Math.min(this.options.burst, this.tokens + earned);
        this.updatedAt = now;
        // A group's loads begin together and may overdraw the bucket, which then has to refill before the next loads.
        if (loads > 0 && this.tokens < 1) {
            return false;
        }
        this.tokens -= loads;
        return true;
    }
}
