/** Splits an event stream into whole events without changing their bytes. */

/** One whole event as it stood in the stream. */
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

    /** True if an event has begun and not ended. */
    public get hasPartialEvent(): boolean {
        return this.rest.length > 0;
    }

    /** Returns the events that `piece` completes. */
    public push(piece: Buffer): readonly StreamEvent[] {
        let buffer = this.rest.length === 0 ? piece : Buffer.concat([this.rest, piece]);
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

/** Returns the offset behind the blank line that ends the first event. */
function findEnd(buffer: Buffer): number | undefined {
    const unix = buffer.indexOf("\n\n");
    const network = buffer.indexOf("\r\n\r\n");
    if (unix === -1 && network === -1) {
        return undefined;
    }
    return network === -1 || (unix !== -1 && unix < network) ? unix + 2 : network + 4;
}

function parseId(bytes: Buffer): number | undefined {
    const id = idLine.exec(bytes.toString("latin1"))?.[1];
    return id === undefined ? undefined : Number(id);
}
