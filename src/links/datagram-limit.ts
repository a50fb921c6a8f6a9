/** Limits the work that datagrams cost a process, whoever sends them, and the lines that are logged of unreadable ones. */

/** Bytes that are read at once, and per second: several times what 300 entry instances send. */
const burstBytes = 16 * 1024 * 1024;
const bytesPerSecond = 16 * 1024 * 1024;
/** What a datagram costs besides its bytes, expressed in bytes. */
const datagramOverheadBytes = 512;
const linesPerSecond = 5;
const millisecondsPerSecond = 1_000;

export class DatagramLimit {
    private availableBytes = burstBytes;
    private availableLines = linesPerSecond;
    /** Local monotonic milliseconds up to which the allowances were filled. */
    private filledAt: number;

    private constructor(now: number) {
        this.filledAt = now;
    }

    /** `now`: local monotonic milliseconds. */
    public static create(now: number): DatagramLimit {
        return new DatagramLimit(now);
    }

    /** True if a datagram of the given length is to be read; one that is not counts as lost. */
    public tryRead(bytes: number, now: number): boolean {
        this.fill(now);
        const cost = bytes + datagramOverheadBytes;
        if (cost > this.availableBytes) {
            return false;
        }
        this.availableBytes -= cost;
        return true;
    }

    /** True if a line on an unreadable datagram is to be written. */
    public tryLog(now: number): boolean {
        this.fill(now);
        if (this.availableLines < 1) {
            return false;
        }
        this.availableLines -= 1;
        return true;
    }

    private fill(now: number): void {
        const seconds = Math.max(0, now - this.filledAt) / millisecondsPerSecond;
        this.filledAt = now;
        this.availableBytes = Math.min(burstBytes, this.availableBytes + seconds * bytesPerSecond);
        this.availableLines = Math.min(linesPerSecond, this.availableLines + seconds * linesPerSecond);
    }
}
