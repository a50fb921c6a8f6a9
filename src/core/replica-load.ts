/**
 * Load of one replica as one entry sees it: its own requests are counted exactly, those of other entries are estimated
 * from the replica's last report, which lags.
 */

/** Assumed age of a load report on arrival, in milliseconds. */
export const reportLagMilliseconds = 500;

interface OwnChange {
    readonly at: number;
    readonly change: number;
}

/** Counts this entry's requests in flight at a replica and estimates those of all entries. */
export class ReplicaLoad {
    private ownCount = 0;
    private othersCount = 0;
    private reportedSlots: number | undefined;
    private changes: OwnChange[] = [];

    private constructor() {}

    public static create(): ReplicaLoad {
        return new ReplicaLoad();
    }

    /** Requests of this entry in flight. */
    public get ownRequests(): number {
        return this.ownCount;
    }

    /** Requests that the replica can run at once; undefined until it has reported. */
    public get slots(): number | undefined {
        return this.reportedSlots;
    }

    /** Estimate of all requests at the replica, running or waiting. */
    public get allRequests(): number {
        return this.othersCount + this.ownCount;
    }

    public change(change: 1 | -1, now: number): void {
        this.ownCount += change;
        this.changes.push({ at: now, change });
        if (this.changes.length > 64) {
            this.dropChangesBefore(now - reportLagMilliseconds);
        }
    }

    /** Applies a load report; whatever exceeds this entry's requests at the time of the report belongs to others. */
    public observe(running: number, waiting: number, slots: number, now: number): void {
        const measuredAt = now - reportLagMilliseconds;
        this.dropChangesBefore(measuredAt);
        const ownAtReport = this.changes.reduce((sum, change) => sum - change.change, this.ownCount);
        this.othersCount = Math.max(0, running + waiting - ownAtReport);
        this.reportedSlots = slots;
    }

    private dropChangesBefore(time: number): void {
        const first = this.changes.findIndex(change => change.at > time);
        this.changes = first < 0 ? [] : this.changes.slice(first);
    }
}
