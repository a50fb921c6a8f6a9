/** Writes streams of a batch to HTTP responses as server-sent events, with backpressure from each reader. */
import type { ServerResponse } from "node:http";
import type { BatchStream } from "./batch.js";

/** Faults in the delivery of events. */
export interface ReaderFaults {
    /** Nothing is written. */
    readonly isSilent: () => boolean;
    /** Each token is written twice. */
    readonly isDoubled: () => boolean;
    /** Adjacent tokens are swapped. */
    readonly isReordered: () => boolean;
}

/** HTTP response that reads one stream. */
export class StreamReader {
    public readonly stream: BatchStream;
    private readonly response: ServerResponse;
    private readonly faults: ReaderFaults;
    /** Index of the next token to write. */
    private nextIndex: number;

    private constructor(
        stream: BatchStream,
        fromOffset: number,
        response: ServerResponse,
        faults: ReaderFaults,
    ) {
        this.stream = stream;
        this.nextIndex = Math.max(0, fromOffset - stream.request.fromOffset);
        this.response = response;
        this.faults = faults;
    }

    public static create(
        stream: BatchStream,
        fromOffset: number,
        response: ServerResponse,
        faults: ReaderFaults,
    ): StreamReader {
        const reader = new StreamReader(stream, fromOffset, response, faults);
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        response.on("drain", () => reader.writeAvailable());
        return reader;
    }

    /** Writes the available tokens until the response's buffer is full. */
    public writeAvailable(): void {
        if (this.faults.isSilent() || this.response.destroyed || this.response.writableEnded) {
            return;
        }
        if (this.stream.state === "dropped") {
            this.response.destroy();
            return;
        }
        while (this.nextIndex < this.stream.tokens.length && !this.response.writableNeedDrain) {
            if (!this.writeNext()) {
                return;
            }
        }
        if (this.stream.state === "finished" && this.nextIndex >= this.stream.tokens.length) {
            this.writeFinished();
        }
    }

    public cut(): void {
        this.response.destroy();
    }

    /** Writes the next tokens; returns false if a reordered token must wait for its successor. */
    private writeNext(): boolean {
        if (!this.faults.isReordered()) {
            this.writeToken(this.nextIndex);
            this.nextIndex += 1;
            return true;
        }
        if (this.nextIndex + 1 >= this.stream.tokens.length) {
            if (this.stream.state !== "finished") {
                return false;
            }
            this.writeToken(this.nextIndex);
            this.nextIndex += 1;
            return true;
        }
        this.writeToken(this.nextIndex + 1);
        this.writeToken(this.nextIndex);
        this.nextIndex += 2;
        return true;
    }

    private writeToken(index: number): void {
        const offset = this.stream.request.fromOffset + index;
        const event = `id: ${offset}\ndata: ${JSON.stringify({ offset, text: this.stream.tokens[index] })}\n\n`;
        this.response.write(this.faults.isDoubled() ? event + event : event);
    }

    private writeFinished(): void {
        const nextOffset = this.stream.request.fromOffset + this.stream.tokens.length;
        const data = JSON.stringify({ reason: "length", nextOffset });
        this.response.end(`event: finished\ndata: ${data}\n\n`);
    }
}
