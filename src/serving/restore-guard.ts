/**
 * Decides when the holder of a placement key may act after the store came back from an older copy. The copy may lack the
 * key, so that a second process acquires it while the former holder, which has not heard of the restore yet, still acts
 * until its lease ends by its own clock.
 */

/** Allowance for clocks that run at different rates, as a fraction of the lease duration. */
const clockRateMargin = 0.05;

export interface RestoreGuardOptions {
    readonly leaseMilliseconds: number;
    /** True if the whole system starts for the first time, so that there was no holder in an older era. */
    readonly isFirstStart: boolean;
}

/** What a process knows of the store's era and of its own hold of the key. */
export interface RestoreFacts {
    /** Current era of the store; 0 if the store reports none. */
    readonly era: number;
    /** Local monotonic milliseconds at which this process first saw the era: no earlier than the restore. */
    readonly eraSeenAt: number;
    /** Era that the store states as free of older holders; undefined if none is recorded. */
    readonly settledEra: number | undefined;
    /** True if this process held the key when it learned of the era. */
    readonly wasHeldAtRestore: boolean;
}

export class RestoreGuard {
    private era: number | undefined;
    /** Local monotonic milliseconds. */
    private mayActFrom = 0;

    private constructor(private readonly options: RestoreGuardOptions) {}

    public static create(options: RestoreGuardOptions): RestoreGuard {
        return new RestoreGuard(options);
    }

    /** Takes the present facts into account; called before each decision to act. */
    public update(facts: RestoreFacts, now: number): void {
        if (facts.era === 0 || facts.settledEra === facts.era) {
            this.mayActFrom = 0;
        } else if (facts.era !== this.era && !this.isAlone(facts, now)) {
            const leaseMilliseconds = this.options.leaseMilliseconds * (1 + clockRateMargin);
            this.mayActFrom = Math.max(this.mayActFrom, facts.eraSeenAt + leaseMilliseconds);
        }
        this.era = facts.era;
    }

    /** True if no holder of an older era can still act. */
    public mayAct(now: number): boolean {
        return now >= this.mayActFrom;
    }

    /** True if no other process can hold a lease of an older era. */
    private isAlone({ wasHeldAtRestore }: RestoreFacts, now: number): boolean {
        const isFirstEra = this.era === undefined;
        return isFirstEra ? this.options.isFirstStart : wasHeldAtRestore && this.mayAct(now);
    }
}
