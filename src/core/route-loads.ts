/**
 * Load of one replica as one entry sees it: its own requests exactly, those of other entries from the replica's last
 * report, which lags.
 */

/** Age in milliseconds that a load report is taken to have when it arrives. */
export const reportLagMilliseconds = 500;

interface OwnChange {
    readonly at: number;
    readonly change: number;
}

/** Own requests in flight and the estimate of all. */
export class ReplicaLoad {
    private own = 0;
    private others = 0;
    private reportedSlots: number | undefined;
    private changes: OwnChange[] = [];

    private constructor() {}

    public static create(): ReplicaLoad {
        return new ReplicaLoad();
    }

    /** Own requests in flight. */
    public get ownRequests(): number {
        return this.own;
    }

    /** Requests that the replica can run at once; undefined until it has said so. */
    public get slots(): number | undefined {
        return this.reportedSlots;
    }

    /** Estimate of all requests at the replica, running or waiting. */
    public get allRequests(): number {
        return this.others + this.own;
    }

    public change(change: 1 | -1, now: number): void {
        this.own += change;
        this.changes.push({ at: now, change });
        if (this.changes.length > 64) {
            this.forgetBefore(now - reportLagMilliseconds);
        }
    }

    /** Takes a report: what is in it beyond one's own requests of that time belongs to others. */
    public observe(running: number, waiting: number, slots: number, now: number): void {
        const takenAt = now - reportLagMilliseconds;
        this.forgetBefore(takenAt);
        const ownThen = this.changes.reduce((sum, change) => sum - change.change, this.own);
        this.others = Math.max(0, running + waiting - ownThen);
        this.reportedSlots = slots;
    }

    private forgetBefore(time: number): void {
        const first = this.changes.findIndex(change => change.at > time);
        this.changes = first < 0 ? [] : this.changes.slice(first);
    }
}
