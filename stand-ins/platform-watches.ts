/** Open watches of the platform's key-value service. */
import type { ServerResponse } from "node:http";
import type { KeyValueData, StoredChange } from "./key-value-data.js";
import { isInRange } from "./key-value-data.js";
import type { CallCounts } from "./call-counts.js";
import * as messages from "./platform-messages.js";

const progressIntervalMilliseconds = 1000;

interface WatchRequest {
    readonly key: string;
    readonly range_end?: string;
    readonly start_revision: number;
}

interface OpenWatch {
    readonly client: string;
    readonly response: ServerResponse;
    readonly request: WatchRequest;
    readonly stop: () => void;
}

/** All open watches; nothing is written to a client's watches while `isSilent` returns true for the client. */
export class PlatformWatches {
    private readonly data: KeyValueData;
    private readonly counts: CallCounts;
    private readonly isSilent: (client: string) => boolean;
    private readonly watches = new Set<OpenWatch>();
    private progressAt = 0;

    private constructor(data: KeyValueData, counts: CallCounts, isSilent: (client: string) => boolean) {
        this.data = data;
        this.counts = counts;
        this.isSilent = isSilent;
    }

    public static create(
        data: KeyValueData,
        counts: CallCounts,
        isSilent: (client: string) => boolean,
    ): PlatformWatches {
        return new PlatformWatches(data, counts, isSilent);
    }

    public open(client: string, request: WatchRequest, response: ServerResponse, now: number): void {
        response.writeHead(200, { "content-type": "application/json" });
        this.progressAt = Math.max(this.progressAt, now);
        const start = request.start_revision === 0 ? this.data.revision() + 1 : request.start_revision;
        const missed = this.data.changesFrom(start);
        if (missed === undefined) {
            this.writeLine(client, response, this.cancellation());
            response.end();
            return;
        }
        this.writeLine(client, response, { header: this.header(), created: true });
        const stop = this.data.subscribe(change => this.sendChanges(watch, [change]));
        const watch: OpenWatch = { client, response, request, stop };
        this.watches.add(watch);
        this.counts.changeWatching(client, 1);
        response.once("close", () => this.remove(watch));
        this.sendChanges(watch, missed);
    }

    /** Sends a progress notification to every watch once per second. */
    public tick(now: number): void {
        if (now < this.progressAt + progressIntervalMilliseconds) {
            return;
        }
        this.progressAt = now;
        this.counts.countWatchSecond();
        this.watches.forEach(watch =>
            this.writeLine(watch.client, watch.response, { header: this.header() }),
        );
    }

    /** Cancels every watch, as etcd does after a compaction. */
    public cancelAll(): void {
        this.watches.forEach(watch => {
            this.writeLine(watch.client, watch.response, this.cancellation());
            watch.response.end();
        });
    }

    /** Cuts the connections of one client's watches, or of all watches. */
    public end(client: string | undefined): void {
        this.watches.forEach(watch => {
            if (client === undefined || watch.client === client) {
                watch.response.destroy();
            }
        });
    }

    private sendChanges(watch: OpenWatch, changes: readonly StoredChange[]): void {
        const { key, range_end: end } = watch.request;
        const matching = changes.filter(change => isInRange(change.key, key, end));
        if (matching.length > 0) {
            const events = matching.map(messages.encodeChange);
            this.writeLine(watch.client, watch.response, { header: this.header(), events });
        }
    }

    private writeLine(client: string, response: ServerResponse, result: unknown): void {
        if (!this.isSilent(client)) {
            response.write(`${JSON.stringify({ result })}\n`);
        }
    }

    private header(): unknown {
        return messages.encodeHeader(this.data.revision());
    }

    private cancellation(): unknown {
        const compacted = String(this.data.compactRevision());
        return {
            header: this.header(),
            canceled: true,
            compact_revision: compacted,
            cancel_reason: "the required revision has been compacted",
        };
    }

    private remove(watch: OpenWatch): void {
        if (this.watches.delete(watch)) {
            watch.stop();
            this.counts.changeWatching(watch.client, -1);
        }
    }
}
