/**
 * The platform's key-value service over the etcd v3 JSON gateway (docs/PROTOCOLS.md). A write without a
 * response is "notSent" only if its connection was never established; otherwise its outcome is "ambiguous".
 */
import type * as z from "zod";
import type { Clock } from "../contracts/clocks.js";
import type * as stores from "../contracts/key-value-stores.js";
import type { Fault, FaultCode, Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { StoreCallOutcome, StoreConnection } from "./key-value-calls.js";
import { callWithFailover, createStoreAgent } from "./key-value-calls.js";
import * as messages from "./key-value-messages.js";
import { openWatch } from "./key-value-watch.js";
import { parseJson } from "./json.js";
import type { StoreBudgetGate, StoreBudget } from "./store-budget.js";
import { createStoreBudgetGate, defaultStoreBudget } from "./store-budget.js";

const millisecondsPerSecond = 1000;
/** Default time without any line after which a watch ends in a "gap". */
const defaultWatchSilenceTimeoutMilliseconds = 5000;

/** Options of the connection to the key-value service. */
export interface KeyValueStoreOptions {
    /** The service's addresses, tried in order. */
    readonly addresses: readonly string[];
    /** Name of this process, sent to the service with each call. */
    readonly process: string;
    readonly clock: Clock;
    readonly budget?: StoreBudget;
    /** Time without any line after which a watch ends in a "gap", in milliseconds. */
    readonly watchSilenceTimeoutMilliseconds?: number;
}

/** The key-value service, with `close` for its connections and timers. */
export interface KeyValueStoreClient extends stores.KeyValueStore {
    readonly close: () => void;
}

type ParsedResponse<T> =
    { readonly kind: "parsed"; readonly data: T } | Extract<StoreCallOutcome, { kind: "failed" }>;

/** Creates a client of the key-value service; no connection is opened before the first call. */
export function createKeyValueStore(options: KeyValueStoreOptions): KeyValueStoreClient {
    const link = new StoreClient(options);
    return {
        list: (prefix, call) => link.range(prefix, messages.prefixRangeEnd(prefix), call),
        get: (key, call) => link.range(key, undefined, call),
        compareAndSwap: (swap, call) => link.compareAndSwap(swap, call),
        grantLease: (seconds, call) => link.grantLease(seconds, call),
        renewLease: (id, call) => link.renewLease(id, call),
        revokeLease: (id, call) => link.revokeLease(id, call),
        watch: (prefix, from) => link.watch(prefix, from.revision),
        close: () => link.close(),
    };
}

class StoreClient {
    private readonly connection: StoreConnection;
    private readonly gate: StoreBudgetGate;
    private readonly silenceTimeoutMilliseconds: number;

    public constructor(options: KeyValueStoreOptions) {
        this.connection = {
            addresses: options.addresses,
            process: options.process,
            clock: options.clock,
            agent: createStoreAgent(),
        };
        this.gate = createStoreBudgetGate(options.budget ?? defaultStoreBudget, options.clock);
        this.silenceTimeoutMilliseconds =
            options.watchSilenceTimeoutMilliseconds ?? defaultWatchSilenceTimeoutMilliseconds;
    }

    public async range(
        key: string,
        rangeEnd: string | undefined,
        options: stores.StoreCallOptions,
    ): Promise<Result<stores.ReadResponse>> {
        const body = { key: messages.encodeText(key), range_end: rangeEnd };
        const response = await this.callIdempotent(
            "/v3/kv/range",
            body,
            options,
            messages.rangeResponseSchema,
        );
        if (!response.success) {
            return response;
        }
        const entries = response.data.kvs.map(messages.decodeEntry);
        return succeed({ revision: response.data.header.revision, entries });
    }

    public async compareAndSwap(
        swap: stores.Swap,
        options: stores.StoreCallOptions,
    ): Promise<stores.SwapOutcome> {
        if (!(await this.gate.acquire(options.priority, options.deadline))) {
            return { kind: "notSent", fault: createBudgetFault() };
        }
        const response = await this.call(
            "/v3/kv/txn",
            messages.encodeSwap(swap),
            options.deadline,
            false,
            messages.transactionResponseSchema,
        );
        if (response.kind === "failed") {
            return response.written
                ? { kind: "ambiguous", fault: createStoreFault("storeAmbiguous", response, false) }
                : { kind: "notSent", fault: createStoreFault("storeUnavailable", response, true) };
        }
        const { header, succeeded, responses } = response.data;
        if (succeeded) {
            return { kind: "swapped", revision: header.revision };
        }
        const current = responses[0]?.response_range?.kvs[0];
        return {
            kind: "conflict",
            revision: header.revision,
            current: current === undefined ? undefined : messages.decodeEntry(current),
        };
    }

    public async grantLease(
        seconds: number,
        options: stores.StoreCallOptions,
    ): Promise<Result<stores.Lease>> {
        const body = { TTL: String(seconds) };
        return this.requestLease("/v3/lease/grant", body, options, messages.leaseGrantResponseSchema, grant =>
            succeed({ id: grant.ID, seconds: grant.TTL }),
        );
    }

    public async renewLease(id: string, options: stores.StoreCallOptions): Promise<Result<stores.Lease>> {
        const schema = messages.leaseRenewalResponseSchema;
        return this.requestLease("/v3/lease/keepalive", { ID: id }, options, schema, ({ result }) =>
            result.TTL > 0 ? succeed({ id, seconds: result.TTL }) : fail(createLeaseExpiredFault(id)),
        );
    }

    public async revokeLease(id: string, options: stores.StoreCallOptions): Promise<Result<undefined>> {
        const schema = messages.leaseRevocationResponseSchema;
        const response = await this.callIdempotent("/v3/lease/revoke", { ID: id }, options, schema);
        return response.success ? succeed(undefined) : response;
    }

    public watch(prefix: string, fromRevision: number): ReturnType<stores.KeyValueStore["watch"]> {
        return openWatch({
            connection: this.connection,
            prefix,
            fromRevision,
            silenceTimeoutMilliseconds: this.silenceTimeoutMilliseconds,
            onWatchCountChange: this.gate.changeWatchCount,
        });
    }

    public close(): void {
        this.gate.close();
        this.connection.agent.destroy();
    }

    /** Grants or renews a lease. Its deadline counts from before the call, so it never exceeds the service's own. */
    private async requestLease<T>(
        path: string,
        body: unknown,
        options: stores.StoreCallOptions,
        schema: z.ZodType<T>,
        decode: (response: T) => Result<{ readonly id: string; readonly seconds: number }>,
    ): Promise<Result<stores.Lease>> {
        const startedAt = this.connection.clock.monotonicMilliseconds();
        const response = await this.callIdempotent(path, body, options, schema);
        if (!response.success) {
            return response;
        }
        const lease = decode(response.data);
        if (!lease.success) {
            return lease;
        }
        const { id, seconds } = lease.data;
        return succeed({ id, deadline: startedAt + seconds * millisecondsPerSecond });
    }

    /** Makes a call that is safe to retry at another address: it has no effect, or the same effect if it runs twice. */
    private async callIdempotent<T>(
        path: string,
        body: unknown,
        options: stores.StoreCallOptions,
        schema: z.ZodType<T>,
    ): Promise<Result<T>> {
        if (!(await this.gate.acquire(options.priority, options.deadline))) {
            return fail(createBudgetFault());
        }
        const response = await this.call(path, body, options.deadline, true, schema);
        return response.kind === "parsed"
            ? succeed(response.data)
            : fail(createStoreFault("storeUnavailable", response, true));
    }

    private async call<T>(
        path: string,
        body: unknown,
        deadline: number,
        isIdempotent: boolean,
        schema: z.ZodType<T>,
    ): Promise<ParsedResponse<T>> {
        const outcome = await callWithFailover(this.connection, path, body, deadline, isIdempotent);
        if (outcome.kind === "failed") {
            return outcome;
        }
        const { address, status } = outcome;
        if (status !== 200) {
            return {
                kind: "failed",
                written: true,
                message: `${address} responded with status ${status}`,
                address,
            };
        }
        const parsed = schema.safeParse(parseJson(outcome.body));
        return parsed.success
            ? { kind: "parsed", data: parsed.data }
            : {
                  kind: "failed",
                  written: true,
                  message: `${address} sent an invalid response: ${parsed.error.message}`,
                  address,
              };
    }
}

function createStoreFault(
    code: FaultCode,
    failure: { readonly message: string; readonly address: string },
    notRun: boolean,
): Fault {
    return { code, message: failure.message, step: "store", peer: failure.address, notRun };
}

function createBudgetFault(): Fault {
    const message =
        "this process's budget of calls to the key-value service is exhausted until past the deadline";
    return { code: "storeBudgetSpent", message, step: "store", notRun: true };
}

function createLeaseExpiredFault(id: string): Fault {
    return { code: "notFound", message: `lease ${id} has expired`, step: "store", notRun: true };
}
