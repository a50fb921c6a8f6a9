/** Line output that never blocks: lines wait in a bounded buffer; when it is full, new lines are dropped and counted. */
import { write } from "node:fs";

/** Capacity of the buffer: some seconds of a busy process's lines. */
const maximumBufferedBytes = 512 * 1024;
/** Time for which lines are collected before they are written together, and delay before a busy output is retried. */
const batchDelayMilliseconds = 50;

/** Writes bytes to the output; `done` receives the error, if any, and the number of bytes written. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;

/** Buffers lines and writes them in batches. */
export class BoundedLineWriter {
    private bufferedLines: string[] = [];
    private bufferedBytes = 0;
    private dropped = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly writeBytes: WriteBytes) {}

    public static create(writeBytes: WriteBytes = writeToStandardOutput): BoundedLineWriter {
        return new BoundedLineWriter(writeBytes);
    }

    /** Buffers a line, which must end with a line break. bunyan calls this method. */
    public write(line: string): void {
        if (this.bufferedBytes + line.length > maximumBufferedBytes) {
            this.dropped += 1;
            return;
        }
        this.bufferedLines.push(line);
        this.bufferedBytes += line.length;
        this.timer ??= setTimeout(() => this.flush(), batchDelayMilliseconds);
    }

    /** Starts writing the buffered lines; lines added meanwhile are written in a later batch. */
    public flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        if (this.dropped > 0) {
            this.bufferedLines.push(
                `${JSON.stringify({ msg: "log lines dropped", dropped: this.dropped })}\n`,
            );
            this.dropped = 0;
        }
        const bytes = Buffer.from(this.bufferedLines.join(""), "utf8");
        this.bufferedLines = [];
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
                setTimeout(() => this.writeAll(rest), shouldRetry ? batchDelayMilliseconds : 0);
            }
        });
    }

    private finishWriting(): void {
        this.isWriting = false;
        this.bufferedBytes = this.bufferedLines.reduce((sum, line) => sum + line.length, 0);
        if (this.bufferedLines.length > 0) {
            this.timer ??= setTimeout(() => this.flush(), batchDelayMilliseconds);
        }
    }
}

function writeToStandardOutput(
    bytes: Buffer,
    done: (error: Error | undefined, written: number) => void,
): void {
    write(1, bytes, 0, bytes.length, undefined, (error, written) => done(error ?? undefined, written));
}
