/** When this process sent its latest datagrams, to find out how old what a relay knew of them is. */

/** Time for which datagrams are remembered, in milliseconds; longer than any bound on the age of the followed state. */
const retentionMilliseconds = 30_000;
const maximumMarks = 2_000;

export class SentMarks {
    /** Local monotonic milliseconds by the number of the datagram, in the order of sending. */
    private readonly sentAt = new Map<number, number>();

    private constructor() {}

    public static create(): SentMarks {
        return new SentMarks();
    }

    /** Records a datagram before it is sent. */
    public record(sequence: number, now: number): void {
        this.sentAt.set(sequence, now);
        for (const [oldest, at] of this.sentAt) {
            if (now - at <= retentionMilliseconds && this.sentAt.size <= maximumMarks) {
                break;
            }
            this.sentAt.delete(oldest);
        }
    }

    /** Returns when a datagram was sent; undefined if it is not known any more. */
    public timeOf(sequence: number): number | undefined {
        return this.sentAt.get(sequence);
    }
}
