/** Allowance of weight loads: keeps the loads that one placer begins under its part of the weight store's rate. */

export interface LoadAllowanceOptions {
    readonly loadsPerSecond: number;
    /** Loads that may begin at once after a rest. */
    readonly burst: number;
    /** Local monotonic milliseconds until which loads are free. */
    readonly freeUntil: number;
}

/** Token bucket that starts empty: the placer before this one may have begun loads a moment ago. */
export class LoadAllowance {
    private tokens = 0;

    private constructor(
        private readonly options: LoadAllowanceOptions,
        private updatedAt: number,
    ) {}

    public static create(options: LoadAllowanceOptions, now: number): LoadAllowance {
        return new LoadAllowance(options, now);
    }

    /** True while loads cost nothing. */
    public isFree(now: number): boolean {
        return now < this.options.freeUntil;
    }

    /** Gives back a load that did not begin. */
    public giveBack(): void {
        this.tokens = Math.min(this.options.burst, this.tokens + 1);
    }

    /** Takes `loads` loads, or none of them and returns false. */
    public tryTake(loads: number, now: number): boolean {
        if (this.isFree(now)) {
            return true;
        }
        const earned = ((now - this.updatedAt) / 1000) * this.options.loadsPerSecond;
        this.tokens = Math.min(this.options.burst, this.tokens + earned);
        this.updatedAt = now;
        // A group's loads begin together; the debt is paid off before the next ones.
        if (loads > 0 && this.tokens < 1) {
            return false;
        }
        this.tokens -= loads;
        return true;
    }
}
