/** Splits a server-sent event stream into complete events without changing their bytes. */

/** A complete event with its original bytes. */
export interface StreamEvent {
    /** Undefined for an event without a numeric id. */
    readonly id: number | undefined;
    readonly bytes: Buffer;
}

const idLine = /^id: ?(\d+)\s*$/m;

export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    private constructor() {}

    public static create(): EventSplitter {
        return new EventSplitter();
    }

    /** True if the data so far ends inside an event. */
    public get hasPartialEvent(): boolean {
        return this.rest.length > 0;
    }

    /** Returns the events that `chunk` completes. */
    public push(chunk: Buffer): readonly StreamEvent[] {
        let buffer = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: StreamEvent[] = [];
        for (let end = findEnd(buffer); end !== undefined; end = findEnd(buffer)) {
            const bytes = buffer.subarray(0, end);
            events.push({ id: parseId(bytes), bytes });
            buffer = buffer.subarray(end);
        }
        this.rest = buffer;
        return events;
    }
}

/** Returns the offset after the blank line that ends the first event. */
function findEnd(buffer: Buffer): number | undefined {
    const lfEnd = buffer.indexOf("\n\n");
    const crlfEnd = buffer.indexOf("\r\n\r\n");
    if (lfEnd === -1 && crlfEnd === -1) {
        return undefined;
    }
    return crlfEnd === -1 || (lfEnd !== -1 && lfEnd < crlfEnd) ? lfEnd + 2 : crlfEnd + 4;
}

function parseId(bytes: Buffer): number | undefined {
    const id = idLine.exec(bytes.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
