/**
 * Stand-in for the platform's key-value service: the subset of the etcd v3 JSON gateway described in docs/PROTOCOLS.md,
 * with fault injection. Faults of the target "platform" apply to all clients, those of a process name to that process.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ZodType } from "zod";
import type { FaultSwitches, ActiveFault } from "./fault-switches.js";
import type { StoredEntry } from "./key-value-data.js";
import { KeyValueData, entriesInRange } from "./key-value-data.js";
import { Listener, parseJson, sendJson } from "./listener.js";
import { CallCounts } from "./call-counts.js";
import * as messages from "./platform-messages.js";
import { PlatformWatches } from "./platform-watches.js";

/** Interval of the checks for expired leases and due watch progress, in milliseconds. */
const tickIntervalMilliseconds = 100;
/** Maximum size of a stored value, in bytes. */
const maximumValueBytes = 1024 * 1024;
const defaultDelayMilliseconds = 1000;

/** Fault target that addresses the platform for all clients. */
export const platformTarget = "platform";

/** Serves the platform's key-value service on one HTTP port. */
export class Platform {
    public readonly data = KeyValueData.create();
    public readonly counts = CallCounts.create();
    private readonly faults: FaultSwitches;
    private readonly now: () => number;
    private readonly watches: PlatformWatches;
    private readonly ticker: NodeJS.Timeout;
    private listener: Listener | undefined;
    private staleSnapshot: ReturnType<KeyValueData["snapshot"]> | undefined;

    private constructor(faults: FaultSwitches, now: () => number) {
        this.faults = faults;
        this.now = now;
        this.watches = PlatformWatches.create(this.data, this.counts, client =>
            this.isFaultOn(client, "silentWatches", "cut"),
        );
        this.ticker = setInterval(() => this.tick(), tickIntervalMilliseconds);
        faults.onChange((fault, on) => this.applyFault(fault, on));
    }

    public static async create(listen: string, faults: FaultSwitches, now: () => number): Promise<Platform> {
        const platform = new Platform(faults, now);
        platform.listener = await Listener.create(listen, (request, response, body) =>
            platform.receive(request, response, body),
        );
        return platform;
    }

    public address(): string {
        return this.listener?.address() ?? "";
    }

    public close(): void {
        clearInterval(this.ticker);
        this.listener?.stop();
    }

    private tick(): void {
        const now = this.now();
        this.data.expireLeases(now);
        this.watches.tick(now);
    }

    private applyFault(fault: ActiveFault, on: boolean): void {
        if (fault.target !== platformTarget) {
            if (!on && (fault.fault === "cut" || fault.fault === "silentWatches")) {
                this.watches.end(fault.target);
            }
            return;
        }
        switch (fault.fault) {
            case "down":
                this.setDown(on);
                break;
            case "paused":
                this.listener?.setFrozen(on);
                break;
            case "oldReads":
                this.staleSnapshot = on ? this.data.snapshot() : undefined;
                break;
            case "lapsedLeases":
                this.data.expireLeases(on ? Infinity : 0);
                break;
            case "watchGap":
                this.data.compact();
                this.watches.cancelAll();
                break;
            case "silentWatches":
                if (!on) {
                    this.watches.end(undefined);
                }
                break;
        }
    }

    private setDown(down: boolean): void {
        if (down) {
            this.listener?.stop();
        } else {
            void this.listener?.start();
        }
    }

    private receive(request: IncomingMessage, response: ServerResponse, body: string): void {
        const client = String(request.headers["x-chervil-process"] ?? "unknown");
        if (this.isFaultOn(client, "cut")) {
            return;
        }
        const slow = this.faults.find([client, platformTarget], "slow");
        const handle = (): void => this.handle(client, request, response, body);
        if (slow === undefined) {
            handle();
        } else {
            setTimeout(handle, slow.milliseconds ?? defaultDelayMilliseconds);
        }
    }

    private handle(client: string, request: IncomingMessage, response: ServerResponse, body: string): void {
        const path = request.url ?? "";
        const message = messages.toSnakeCaseKeys(parseJson(body));
        const routes: Readonly<Record<string, () => unknown>> = {
            "/v3/kv/range": () => this.range(parse(messages.rangeSchema, message)),
            "/v3/kv/txn": () => this.transact(parse(messages.transactionSchema, message)),
            "/v3/lease/grant": () => this.grant(parse(messages.leaseGrantSchema, message).TTL),
            "/v3/lease/keepalive": () => this.renew(parse(messages.leaseIdSchema, message).ID),
            "/v3/lease/revoke": () => this.revoke(parse(messages.leaseIdSchema, message).ID),
        };
        this.counts.count(client, path);
        try {
            if (path === "/v3/watch") {
                const watch = parse(messages.watchSchema, message).create_request;
                this.watches.open(client, watch, response, this.now());
                return;
            }
            const route = routes[path];
            if (route === undefined) {
                sendJson(response, 404, { error: "unknown path", code: 5 });
                return;
            }
            const result = route();
            this.sendResult(client, path, response, result);
        } catch (thrown) {
            const error = thrown instanceof Error ? thrown.message : String(thrown);
            sendJson(response, 400, { error, code: 3 });
        }
    }

    /** Sends the response; the fault `lostAnswers` drops it after the call has taken effect. */
    private sendResult(client: string, path: string, response: ServerResponse, result: unknown): void {
        if (path !== "/v3/kv/range" && this.isFaultOn(client, "lostAnswers")) {
            response.socket?.destroy();
            return;
        }
        sendJson(response, 200, result);
    }

    private range(query: { readonly key: string; readonly range_end?: string }): unknown {
        const found =
            this.staleSnapshot === undefined
                ? this.data.range(query.key, query.range_end)
                : entriesInRange(this.staleSnapshot.entries, query.key, query.range_end);
        return {
            header: messages.encodeHeader(this.staleSnapshot?.revision ?? this.data.revision()),
            kvs: found.map(messages.encodeEntry),
            count: String(found.length),
        };
    }

    private transact(transaction: ReturnType<typeof messages.transactionSchema.parse>): unknown {
        const compare = transaction.compare[0]!;
        const succeeded = (this.data.get(compare.key)?.modRevision ?? 0) === compare.mod_revision;
        const operations = succeeded ? transaction.success : transaction.failure;
        operations.forEach(operation => this.checkOperation(operation));
        const responses = operations.map(operation => this.apply(operation));
        if (succeeded) {
            this.counts.countWrite();
        }
        return { header: messages.encodeHeader(this.data.revision()), succeeded, responses };
    }

    private checkOperation(operation: messages.Operation): void {
        const { request_put: put } = operation;
        if (put === undefined) {
            return;
        }
        if (Buffer.byteLength(put.value) > maximumValueBytes) {
            throw new Error("request is too large");
        }
        if (put.lease !== undefined && put.lease !== "0" && !this.data.hasLease(put.lease)) {
            throw new Error("requested lease not found");
        }
    }

    private apply(operation: messages.Operation): unknown {
        if (operation.request_put !== undefined) {
            const { key, value, lease } = operation.request_put;
            this.data.put(key, value, lease === "0" ? undefined : lease);
            return { response_put: { header: messages.encodeHeader(this.data.revision()) } };
        }
        if (operation.request_delete_range !== undefined) {
            const { key, range_end: end } = operation.request_delete_range;
            const deleted = this.data.range(key, end).filter(entry => this.data.delete(entry.key));
            return { response_delete_range: { deleted: String(deleted.length) } };
        }
        const range = operation.request_range;
        const found: readonly StoredEntry[] =
            range === undefined ? [] : this.data.range(range.key, range.range_end);
        return { response_range: { kvs: found.map(messages.encodeEntry), count: String(found.length) } };
    }

    private grant(seconds: number): unknown {
        const lease = this.data.grant(seconds, this.now());
        return {
            header: messages.encodeHeader(this.data.revision()),
            ID: lease.id,
            TTL: String(lease.seconds),
        };
    }

    private renew(id: string): unknown {
        const lease = this.data.renew(id, this.now());
        const header = messages.encodeHeader(this.data.revision());
        return { result: { header, ID: id, TTL: String(lease?.seconds ?? 0) } };
    }

    private revoke(id: string): unknown {
        if (!this.data.revoke(id)) {
            throw new Error("requested lease not found");
        }
        return { header: messages.encodeHeader(this.data.revision()) };
    }

    private isFaultOn(client: string, ...faults: readonly string[]): boolean {
        return faults.some(fault => this.faults.isOn([client, platformTarget], fault));
    }
}

function parse<T>(schema: ZodType<T>, message: unknown): T {
    return schema.parse(message);
}
