/** Splits a server-sent event stream into complete events without changing their bytes. */
import { ByteCollector } from "../links/byte-collector.js";

/** A complete event with its original bytes. */
export interface StreamEvent {
    /** Undefined for an event without a numeric id. */
    readonly id: number | undefined;
    readonly bytes: Buffer;
}

const idLinePattern = /^id: ?(\d+)\s*$/m;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** What the data so far contains of the current line. */
type LineContent =
    /** No line has ended since the event began. */
    "first" | "nothing" | "carriageReturn" | "text";

export class EventSplitter {
    /** The incomplete event at the end of the data so far. */
    private readonly partialEvent = ByteCollector.create();
    private line: LineContent = "first";

    private constructor() {}

    public static create(): EventSplitter {
        return new EventSplitter();
    }

    /** True if the data so far ends inside an event. */
    public get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /** Size of the incomplete event at the end of the data so far, in bytes; each of its pieces counts with its overhead. */
    public get partialEventBytes(): number {
        return this.partialEvent.chargedBytes;
    }

    /** Returns the events that `chunk` completes. Each byte is looked at once, whatever the sizes of the chunks. */
    public push(chunk: Buffer): readonly StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let index = 0; index < chunk.length; index += 1) {
            if (this.endsEvent(chunk[index]!)) {
                events.push(this.completeEvent(chunk.subarray(start, index + 1)));
                start = index + 1;
            }
        }
        if (start < chunk.length) {
            this.partialEvent.add(chunk.subarray(start));
        }
        return events;
    }

    /** Advances by one byte; true if it ends a blank line, and with it the event. */
    private endsEvent(byte: number): boolean {
        if (byte === lineFeed) {
            const isBlank = this.line === "nothing" || this.line === "carriageReturn";
            this.line = isBlank ? "first" : "nothing";
            return isBlank;
        }
        if (this.line !== "first") {
            this.line = byte === carriageReturn && this.line === "nothing" ? "carriageReturn" : "text";
        }
        return false;
    }

    private completeEvent(end: Buffer): StreamEvent {
        let bytes = end;
        if (this.partialEvent.length > 0) {
            this.partialEvent.add(end);
            bytes = this.partialEvent.take();
        }
        return { id: parseEventId(bytes), bytes };
    }
}

function parseEventId(bytes: Buffer): number | undefined {
    const id = idLinePattern.exec(bytes.toString("latin1"))?.[1];
    return Number.isSafeInteger(Number(id)) ? Number(id) : undefined;
}
