/**
 * Decides when an entry instance tells others at once that its load at a replica group has changed. Covers requests that
 * meet at one group because each sender learns of the others' loads only with their next datagram of the whole state.
 */

/** What changed: a request was sent, its first event arrived, or it ended. */
export type LoadChange = "sent" | "begun" | "ended";

/**
 * Time after which a first event or an end is told, in milliseconds; usually a request is sent meanwhile, whose news has
 * it too. A load that is stated too high for this time only keeps a few requests away.
 */
const reliefDelayMilliseconds = 300;
/** Minimum time per datagram sent, in milliseconds: at most 333 datagrams per second, whatever the load. */
const millisecondsPerDatagram = 3;

export class LoadNews {
    private readonly unsent = new Set<string>();
    private dueAt = Number.POSITIVE_INFINITY;
    private mayFollowAt = 0;

    private constructor() {}

    public static create(): LoadNews {
        return new LoadNews();
    }

    /** Local monotonic milliseconds at which unsent changes are due; infinite if there are none. */
    public get nextAt(): number {
        return Math.max(this.dueAt, this.mayFollowAt);
    }

    public record(group: string, change: LoadChange, now: number): void {
        this.unsent.add(group);
        this.dueAt = Math.min(this.dueAt, change === "sent" ? now : now + reliefDelayMilliseconds);
    }

    /** Returns the groups with unsent changes if these are due, and counts them as sent. */
    public take(now: number): readonly string[] {
        if (now < this.nextAt) {
            return [];
        }
        const groups = [...this.unsent];
        this.unsent.clear();
        this.dueAt = Number.POSITIVE_INFINITY;
        return groups;
    }

    /** Records how many datagrams the last news took. */
    public recordDatagrams(count: number, now: number): void {
        this.mayFollowAt = now + count * millisecondsPerDatagram;
    }
}
