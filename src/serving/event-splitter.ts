/** Splits a server-sent event stream into complete events without changing their bytes. */

/** A complete event with its original bytes. */
export interface StreamEvent {
    /** Undefined for an event without a numeric id. */
    readonly id: number | undefined;
    readonly bytes: Buffer;
}

const idLinePattern = /^id: ?(\d+)\s*$/m;

export class EventSplitter {
    private remainder: Buffer = Buffer.alloc(0);

    private constructor() {}

    public static create(): EventSplitter {
        return new EventSplitter();
    }

    /** True if the data so far ends inside an event. */
    public get hasPartialEvent(): boolean {
        return this.remainder.length > 0;
    }

    /** Returns the events that `chunk` completes. */
    public push(chunk: Buffer): readonly StreamEvent[] {
        let buffer = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
        const events: StreamEvent[] = [];
        for (let end = findEventEnd(buffer); end !== undefined; end = findEventEnd(buffer)) {
            const bytes = buffer.subarray(0, end);
            events.push({ id: parseEventId(bytes), bytes });
            buffer = buffer.subarray(end);
        }
        this.remainder = buffer;
        return events;
    }
}

/** Returns the offset after the blank line that ends the first event. */
function findEventEnd(buffer: Buffer): number | undefined {
    const lfEnd = buffer.indexOf("\n\n");
    const crlfEnd = buffer.indexOf("\r\n\r\n");
    if (lfEnd === -1 && crlfEnd === -1) {
        return undefined;
    }
    return crlfEnd === -1 || (lfEnd !== -1 && lfEnd < crlfEnd) ? lfEnd + 2 : crlfEnd + 4;
}

function parseEventId(bytes: Buffer): number | undefined {
    const id = idLinePattern.exec(bytes.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
