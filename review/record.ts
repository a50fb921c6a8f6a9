/** Writes what was sent, answered and run to `record.txt` in the folder of a case. */
import { createWriteStream } from "node:fs";
import type { WriteStream } from "node:fs";
import { join } from "node:path";

export class Record {
    private readonly startedAt = Date.now();

    private constructor(private readonly stream: WriteStream) {}

    public static create(folder: string): Record {
        return new Record(createWriteStream(join(folder, "record.txt")));
    }

    /** Seconds since the start of the case. */
    public get seconds(): number {
        return (Date.now() - this.startedAt) / 1_000;
    }

    public line(text: string): void {
        this.stream.write(`${this.seconds.toFixed(3).padStart(8)} ${text}\n`);
    }

    /** Writes a line to the record and to standard output. */
    public say(text: string): void {
        this.line(text);
        process.stdout.write(`${text}\n`);
    }

    public close(): Promise<void> {
        return new Promise(resolve => this.stream.end(resolve));
    }
}
