/** Rate limit that keeps the weight loads that one placer begins within its share of the weight store's rate. */

export interface LoadAllowanceOptions {
    readonly loadsPerSecond: number;
    /** Maximum loads that may begin at once after an idle time. */
    readonly burst: number;
    /** Local monotonic milliseconds until which loads are not rate-limited. */
    readonly freeUntil: number;
}

/** Token bucket that starts empty, since the previous placer may have begun loads just before. */
export class LoadAllowance {
    private tokens = 0;

    private constructor(
        private readonly options: LoadAllowanceOptions,
        private updatedAt: number,
    ) {}

    public static create(options: LoadAllowanceOptions, now: number): LoadAllowance {
        return new LoadAllowance(options, now);
    }

    /** True while loads are not rate-limited. */
    public isFree(now: number): boolean {
        return now < this.options.freeUntil;
    }

    /** Returns the token of a load that did not begin. */
    public giveBack(): void {
        this.tokens = Math.min(this.options.burst, this.tokens + 1);
    }

    /** Takes tokens for `loads` loads; takes none and returns false if less than one token is available. */
    public tryTake(loads: number, now: number): boolean {
        if (this.isFree(now)) {
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
