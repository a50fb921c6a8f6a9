/** Watches of the key-value service: a streamed response with one JSON object per line. */
import type { ClientRequest } from "node:http";
import { Observable } from "rxjs";
import type { Subscriber } from "rxjs";
import type { WatchEvent } from "../contracts/key-value-stores.js";
import type { Fault } from "../core/errors.js";
import { DelimitedText } from "./delimited-text.js";
import type { StoreConnection } from "./key-value-calls.js";
import { openPost } from "./key-value-calls.js";
import * as messages from "./key-value-messages.js";

/** Maximum length of an incomplete line, in characters; each of its pieces counts with its overhead. */
const maximumLineLength = 16 * 1024 * 1024;

/** Options of one watch. */
export interface WatchOptions {
    readonly connection: StoreConnection;
    readonly prefix: string;
    readonly fromRevision: number;
    /** Time without any line after which the stream counts as dead. */
    readonly silenceTimeoutMilliseconds: number;
    /** Called with 1 when the watch opens and with -1 when it ends. */
    readonly onWatchCountChange: (difference: number) => void;
}

/** Opens a watch at the first address that accepts the request; every end of the stream is reported as a "gap". */
export function openWatch(options: WatchOptions): Observable<WatchEvent> {
    return new Observable(subscriber => {
        const watch = new WatchStream(options, subscriber);
        watch.start(0);
        return () => watch.close();
    });
}

class WatchStream {
    private readonly options: WatchOptions;
    private readonly subscriber: Subscriber<WatchEvent>;
    private outgoing: ClientRequest | undefined;
    private silenceTimer: NodeJS.Timeout | undefined;
    private readonly text = DelimitedText.create("\n");
    private ended = false;

    public constructor(options: WatchOptions, subscriber: Subscriber<WatchEvent>) {
        this.options = options;
        this.subscriber = subscriber;
        options.onWatchCountChange(1);
    }

    /** Tries the address at `index`, then the following ones while no response has begun. */
    public start(index: number): void {
        const { connection, prefix, fromRevision } = this.options;
        const address = connection.addresses[index];
        if (address === undefined) {
            this.end("no address of the key-value service accepted the watch");
            return;
        }
        const body = messages.encodeWatch(prefix, fromRevision);
        const outgoing = openPost(connection, address, "/v3/watch", body, () => undefined);
        this.outgoing = outgoing;
        let hasResponse = false;
        this.restartSilenceTimer();
        outgoing.once("response", response => {
            hasResponse = true;
            if (response.statusCode !== 200) {
                this.end(`the key-value service responded to a watch with status ${response.statusCode}`);
                return;
            }
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => this.receiveChunk(chunk));
            response.once("error", error => this.end(error.message));
            response.once("close", () => this.end("the connection of the watch was closed"));
        });
        outgoing.once("error", error =>
            hasResponse || this.ended ? this.end(error.message) : this.start(index + 1),
        );
    }

    public close(): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        clearTimeout(this.silenceTimer);
        this.options.onWatchCountChange(-1);
        this.outgoing?.destroy();
    }

    private receiveChunk(chunk: string): void {
        this.restartSilenceTimer();
        const lines = this.text.push(chunk);
        if (this.text.chargedLength > maximumLineLength) {
            this.end("a line of the watch exceeds the maximum length");
        }
        for (const line of lines) {
            if (!this.ended && line.trim() !== "") {
                this.receiveLine(line);
            }
        }
    }

    private receiveLine(line: string): void {
        const parsed = parseLine(line);
        if (parsed === undefined) {
            this.end("a line of the watch is not a valid JSON message");
            return;
        }
        const message = messages.decodeWatchLine(parsed);
        if (message.kind === "ended") {
            this.end(message.reason);
            return;
        }
        if (message.kind === "event") {
            this.subscriber.next(message.event);
        }
    }

    private restartSilenceTimer(): void {
        clearTimeout(this.silenceTimer);
        this.silenceTimer = setTimeout(
            () => this.end("the watch received no line within its time-out"),
            this.options.silenceTimeoutMilliseconds,
        );
    }

    private end(reason: string): void {
        if (this.ended) {
            return;
        }
        this.close();
        const fault: Fault = { code: "storeUnavailable", message: reason, step: "store", notRun: true };
        this.subscriber.next({ kind: "gap", fault });
        this.subscriber.complete();
    }
}

function parseLine(line: string): ReturnType<typeof messages.watchLineSchema.parse> | undefined {
    try {
        return messages.watchLineSchema.safeParse(JSON.parse(line)).data;
    } catch {
        return undefined;
    }
}
