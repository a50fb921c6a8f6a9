/** Estimate of the time until a request that comes now would start, from the pace of recent starts. */

/** Time in milliseconds over which the pace of starts is measured. */
const paceMemoryMilliseconds = 5_000;
/** Starts that must be known before an estimate is made. */
const startsNeeded = 8;

/** Pace of the starts of one model at one entry. */
export class StartEstimate {
    private starts = 0;
    private weight = 0;
    private at: number | undefined;

    private constructor() {}

    public static create(): StartEstimate {
        return new StartEstimate();
    }

    public started(now: number): void {
        this.decay(now);
        this.weight += 1;
        this.starts += 1;
    }

    /**
     * Returns milliseconds until a request starts, 0 if that is not known. `own` requests of the same subscriber go
     * before it, and those of other subscribers only in their turn.
     */
    public waitOf(queued: number, own: number, waitingSubscribers: number, now: number): number {
        if (queued === 0 || this.starts < startsNeeded) {
            return 0;
        }
        this.decay(now);
        const startsPerMillisecond = Math.max(this.weight, 0.5) / paceMemoryMilliseconds;
        const ahead = Math.min(queued, (own + 1) * Math.max(1, waitingSubscribers));
        return ahead / startsPerMillisecond;
    }

    private decay(now: number): void {
        const elapsed = Math.max(0, now - (this.at ?? now));
        this.weight *= Math.exp(-elapsed / paceMemoryMilliseconds);
        this.at = now;
    }
}
