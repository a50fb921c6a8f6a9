/** Line output that never blocks: lines wait in a bounded buffer; when it is full, new lines are dropped and counted. */
import { write } from "node:fs";

/** Capacity of the buffer: some seconds of a busy process's lines. */
const maximumWaitingBytes = 512 * 1024;
/** Time for which lines are collected before they are written together, and delay before a busy output is retried. */
const gatherMilliseconds = 50;

/** Writes bytes to the output; `done` receives the error, if any, and the number of bytes written. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;

/** Buffers lines and writes them in batches. */
export class BoundedLines {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly writeBytes: WriteBytes) {}

    public static create(writeBytes: WriteBytes = writeToStandardOutput): BoundedLines {
        return new BoundedLines(writeBytes);
    }

    /** Buffers a line, which must end with a line break. bunyan calls this method. */
    public write(line: string): void {
        if (this.waitingBytes + line.length > maximumWaitingBytes) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.timer ??= setTimeout(() => this.flush(), gatherMilliseconds);
    }

    /** Starts writing the buffered lines; lines added meanwhile are written in a later batch. */
    public flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        if (this.dropped > 0) {
            this.waiting.push(`${JSON.stringify({ msg: "log lines dropped", dropped: this.dropped })}\n`);
            this.dropped = 0;
        }
        const bytes = Buffer.from(this.waiting.join(""), "utf8");
        this.waiting = [];
        this.isWriting = true;
        this.writeAll(bytes);
    }

    private writeAll(bytes: Buffer): void {
        this.writeBytes(bytes, (error, written) => {
            const shouldRetry = (error as NodeJS.ErrnoException | undefined)?.code === "EAGAIN";
            if (error !== undefined && !shouldRetry) {
                this.finishWriting();
                return;
            }
            const rest = bytes.subarray(shouldRetry ? 0 : written);
            if (rest.length === 0) {
                this.finishWriting();
            } else {
                setTimeout(() => this.writeAll(rest), shouldRetry ? gatherMilliseconds : 0);
            }
        });
    }

    private finishWriting(): void {
        this.isWriting = false;
        this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0);
        if (this.waiting.length > 0) {
            this.timer ??= setTimeout(() => this.flush(), gatherMilliseconds);
        }
    }
}

function writeToStandardOutput(
    bytes: Buffer,
    done: (error: Error | undefined, written: number) => void,
): void {
    write(1, bytes, 0, bytes.length, undefined, (error, written) => done(error ?? undefined, written));
}
