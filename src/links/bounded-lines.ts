/** Line output that never blocks: lines wait in a bounded buffer, and those that find it full are counted and dropped. */
import { write } from "node:fs";

/** Most bytes that wait, in bytes: some seconds of a busy process's lines. */
const maximumWaitingBytes = 512 * 1024;
/** Time in which lines gather before they are written together, in milliseconds. */
const gatherMilliseconds = 50;

/** Where a bounded output's bytes go; calls back when they were taken. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | undefined, written: number) => void) => void;

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

    /** Takes a line that ends with a line break; bunyan calls this. */
    public write(line: string): void {
        if (this.waitingBytes + line.length > maximumWaitingBytes) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.timer ??= setTimeout(() => this.flush(), gatherMilliseconds);
    }

    /** Starts to write what waits; the rest follows by itself. */
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
            const isAgain = (error as NodeJS.ErrnoException | undefined)?.code === "EAGAIN";
            if (error !== undefined && !isAgain) {
                this.finishWriting();
                return;
            }
            const rest = bytes.subarray(isAgain ? 0 : written);
            if (rest.length === 0) {
                this.finishWriting();
            } else {
                setTimeout(() => this.writeAll(rest), isAgain ? gatherMilliseconds : 0);
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
