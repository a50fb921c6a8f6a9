/** Incremental parser of server-sent events. */
import { DelimitedText } from "./delimited-text.js";

/** The fields of one event. */
export interface ServerSentEvent {
    readonly id?: string;
    readonly event?: string;
    readonly data: string;
}

/** Splits a text stream into server-sent events. */
export class ServerSentEventParser {
    private readonly text = DelimitedText.create("\n\n");

    private constructor(private readonly maximumLength: number) {}

    /** `maximumLength`: of one incomplete event, in characters; each of its pieces counts with its overhead. */
    public static create(maximumLength: number): ServerSentEventParser {
        return new ServerSentEventParser(maximumLength);
    }

    /** Returns the events that `chunk` completes; throws an Error if an incomplete event is too long. */
    public push(chunk: string): readonly ServerSentEvent[] {
        const blocks = this.text.push(chunk);
        if (this.text.chargedLength > this.maximumLength) {
            throw new Error(`a server-sent event is longer than ${this.maximumLength} characters`);
        }
        return blocks.map(parseBlock).filter(event => event.data !== "");
    }
}

function parseBlock(block: string): ServerSentEvent {
    const fields = new Map<string, string>();
    for (const line of block.split("\n")) {
        const colon = line.indexOf(":");
        if (colon <= 0) {
            continue;
        }
        const name = line.slice(0, colon);
        const value = line.slice(colon + 1).replace(/^ /, "");
        fields.set(name, name === "data" && fields.has(name) ? `${fields.get(name)}\n${value}` : value);
    }
    return { id: fields.get("id"), event: fields.get("event"), data: fields.get("data") ?? "" };
}
