/**
 * The platform's key-value service over the etcd v3 JSON gateway (docs/PROTOCOLS.md), through Node `http`. A write
 * whose answer is missing counts as "notSent" only if its connection never stood; otherwise it is "ambiguous".
 */
import type * as z from "zod";
import type { Clock } from "../contracts/clocks.js";
import type * as stores from "../contracts/key-value-stores.js";
import type { Fault, FaultCode, Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { CallOutcome, StoreConnection } from "./key-value-calls.js";
import { callInOrder, createStoreAgent } from "./key-value-calls.js";
import * as messages from "./key-value-messages.js";
import { openWatch } from "./key-value-watches.js";
import { parseJson } from "./json.js";
import type { BudgetGate, StoreBudget } from "./store-budgets.js";
import { createBudgetGate, defaultStoreBudget } from "./store-budgets.js";

const millisecondsPerSecond = 1000;
/** A watch without any line for so long is reopened, in milliseconds. */
const defaultSilenceMilliseconds = 5000;

/** Options of the link. */
export interface KeyValueStoreOptions {
    /** The service's addresses, tried in order. */
    readonly addresses: readonly string[];
    /** Name of this process, for the service's own records. */
    readonly process: string;
    readonly clock: Clock;
    readonly budget?: StoreBudget;
    /** Time without any line after which a watch ends in a "gap", in milliseconds. */
    readonly watchSilenceMilliseconds?: number;
}

/** The key-value service with the end of its connections. */
export interface KeyValueStoreLink extends stores.KeyValueStore {
    readonly close: () => void;
}

type Parsed<T> = { readonly kind: "parsed"; readonly data: T } | Extract<CallOutcome, { kind: "failed" }>;

/** Creates the link; no connection is opened before the first call. */
export function createKeyValueStore(options: KeyValueStoreOptions): KeyValueStoreLink {
    const link = new StoreLink(options);
    return {
        list: (prefix, call) => link.range(prefix, messages.endOfPrefix(prefix), call),
        get: (key, call) => link.range(key, undefined, call),
        compareAndSwap: (swap, call) => link.compareAndSwap(swap, call),
        grantLease: (seconds, call) => link.grantLease(seconds, call),
        renewLease: (id, call) => link.renewLease(id, call),
        revokeLease: (id, call) => link.revokeLease(id, call),
        watch: (prefix, fromRevision) => link.watch(prefix, fromRevision),
        close: () => link.close(),
    };
}

class StoreLink {
    private readonly connection: StoreConnection;
    private readonly gate: BudgetGate;
    private readonly silenceMilliseconds: number;

    public constructor(options: KeyValueStoreOptions) {
        this.connection = {
            addresses: options.addresses,
            process: options.process,
            clock: options.clock,
            agent: createStoreAgent(),
        };
        this.gate = createBudgetGate(options.budget ?? defaultStoreBudget, options.clock);
        this.silenceMilliseconds = options.watchSilenceMilliseconds ?? defaultSilenceMilliseconds;
    }

    public async range(
        key: string,
        rangeEnd: string | undefined,
        options: stores.StoreCallOptions,
    ): Promise<Result<stores.ReadAnswer>> {
        const body = { key: messages.encodeText(key), range_end: rangeEnd };
        const answer = await this.read("/v3/kv/range", body, options, messages.rangeAnswerSchema);
        if (!answer.success) {
            return answer;
        }
        const entries = answer.data.kvs.map(messages.decodeEntry);
        return succeed({ revision: answer.data.header.revision, entries });
    }

    public async compareAndSwap(
        swap: stores.Swap,
        options: stores.StoreCallOptions,
    ): Promise<stores.SwapOutcome> {
        if (!(await this.gate.acquire(options.priority, options.deadline))) {
            return { kind: "notSent", fault: budgetFault() };
        }
        const answer = await this.call(
            "/v3/kv/txn",
            messages.encodeSwap(swap),
            options.deadline,
            false,
            messages.transactionAnswerSchema,
        );
        if (answer.kind === "failed") {
            return answer.written
                ? { kind: "ambiguous", fault: storeFault("storeAmbiguous", answer, false) }
                : { kind: "notSent", fault: storeFault("storeUnavailable", answer, true) };
        }
        const { header, succeeded, responses } = answer.data;
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
        return this.timedRead("/v3/lease/grant", body, options, messages.leaseGrantAnswerSchema, grant =>
            succeed({ id: grant.ID, seconds: grant.TTL }),
        );
    }

    public async renewLease(id: string, options: stores.StoreCallOptions): Promise<Result<stores.Lease>> {
        const schema = messages.leaseRenewalAnswerSchema;
        return this.timedRead("/v3/lease/keepalive", { ID: id }, options, schema, ({ result }) =>
            result.TTL > 0 ? succeed({ id, seconds: result.TTL }) : fail(lapsedFault(id)),
        );
    }

    public async revokeLease(id: string, options: stores.StoreCallOptions): Promise<Result<undefined>> {
        const schema = messages.leaseRevocationAnswerSchema;
        const answer = await this.read("/v3/lease/revoke", { ID: id }, options, schema);
        return answer.success ? succeed(undefined) : answer;
    }

    public watch(prefix: string, fromRevision: number): ReturnType<stores.KeyValueStore["watch"]> {
        return openWatch({
            connection: this.connection,
            prefix,
            fromRevision,
            silenceMilliseconds: this.silenceMilliseconds,
            onCount: this.gate.changeWatches,
        });
    }

    public close(): void {
        this.gate.close();
        this.connection.agent.destroy();
    }

    /** A lease counts from before the call that grants or renews it. */
    private async timedRead<T>(
        path: string,
        body: unknown,
        options: stores.StoreCallOptions,
        schema: z.ZodType<T>,
        decode: (answer: T) => Result<{ readonly id: string; readonly seconds: number }>,
    ): Promise<Result<stores.Lease>> {
        const begun = this.connection.clock.monotonicMilliseconds();
        const answer = await this.read(path, body, options, schema);
        if (!answer.success) {
            return answer;
        }
        const lease = decode(answer.data);
        if (!lease.success) {
            return lease;
        }
        const { id, seconds } = lease.data;
        return succeed({ id, deadline: begun + seconds * millisecondsPerSecond });
    }

    /** A call that may be repeated at another address: it has no effect, or the same effect twice. */
    private async read<T>(
        path: string,
        body: unknown,
        options: stores.StoreCallOptions,
        schema: z.ZodType<T>,
    ): Promise<Result<T>> {
        if (!(await this.gate.acquire(options.priority, options.deadline))) {
            return fail(budgetFault());
        }
        const answer = await this.call(path, body, options.deadline, true, schema);
        return answer.kind === "parsed"
            ? succeed(answer.data)
            : fail(storeFault("storeUnavailable", answer, true));
    }

    private async call<T>(
        path: string,
        body: unknown,
        deadline: number,
        repeatable: boolean,
        schema: z.ZodType<T>,
    ): Promise<Parsed<T>> {
        const outcome = await callInOrder(this.connection, path, body, deadline, repeatable);
        if (outcome.kind === "failed") {
            return outcome;
        }
        const { address, status } = outcome;
        if (status !== 200) {
            return { kind: "failed", written: true, message: `${address} answered ${status}`, address };
        }
        const parsed = schema.safeParse(parseJson(outcome.body));
        return parsed.success
            ? { kind: "parsed", data: parsed.data }
            : { kind: "failed", written: true, message: `${address}: ${parsed.error.message}`, address };
    }
}

function storeFault(
    code: FaultCode,
    failure: { readonly message: string; readonly address: string },
    notRun: boolean,
): Fault {
    return { code, message: failure.message, step: "store", peer: failure.address, notRun };
}

function budgetFault(): Fault {
    const message = "the process's budget of store calls is spent";
    return { code: "storeBudgetSpent", message, step: "store", notRun: true };
}

function lapsedFault(id: string): Fault {
    return { code: "notFound", message: `lease ${id} has lapsed`, step: "store", notRun: true };
}
