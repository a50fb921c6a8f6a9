/**
 * One stored value that holds many claims, as one entry instance updates it: operations are batched into one
 * compare-and-swap, and at most one store call is in flight.
 *
 * Safety depends on the compare-and-swap alone. A write whose response was lost is ambiguous: the value is read back,
 * and the operations are retried with the same nonces. The lost write may still take effect after that read, but only
 * at the revision that it expected, so any later write at that revision fences it.
 */
import type { KeyValueEntry, ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import type { ClaimDraft, ClaimOperation, ApplyOperation, ResolvedOperation } from "./claim-operations.js";
import { draftClaims } from "./claim-operations.js";
import type { ClaimTable } from "./claim-records.js";
import { emptyClaimTable, safeParseClaims } from "./claim-records.js";
import type { Fault, Result } from "./errors.js";

/** A call to make to the store. */
export type ShardCall =
    | { readonly kind: "read" }
    | { readonly kind: "swap"; readonly expectedRevision: number; readonly value: string };

/** Operations resolved by a response of the store. `fault` is set if the store could not be used. */
export interface ShardStep {
    readonly resolved: readonly ResolvedOperation[];
    readonly fault?: Fault;
    /** True if this value is unusable but the store itself works. */
    readonly isValueFault?: boolean;
}

/** How shards handle lost responses; checkers replace these rules by broken ones to prove that they notice. */
export interface ShardRules {
    readonly applyOperation: ApplyOperation;
    /** How a write with an ambiguous outcome is treated. */
    readonly ambiguousCountsAs: "unknown" | "written" | "failed";
    /** Whether a release also fences a lost write that may still take effect. */
    readonly fencesLostWrites: boolean;
}

/** Rules and settings of a shard. */
export type ShardOptions = ShardRules & {
    /** Maximum number of operations per write. */
    readonly maximumBatch: number;
    /** Returns a string that is unique to one write. */
    readonly createNonce: () => string;
};

interface PendingOperation {
    readonly operation: ClaimOperation;
    /** True if a write that contains this operation may be in the store or may still reach it. */
    mayBeWritten: boolean;
    /** True if the table was read from the store after the operation was added. */
    hasFreshTable: boolean;
    isWithdrawn: boolean;
}

interface InFlightCall {
    readonly kind: "read" | "swap";
    readonly batch: readonly PendingOperation[];
    readonly draft?: ClaimDraft;
}

/** One stored value of claims, with the operations of one entry instance that are pending on it. */
export class ClaimShard {
    private table: ClaimTable = emptyClaimTable;
    private tableLength = 0;
    private revision = 0;
    private mustRead = false;
    /** True if another entry instance writes this value too, so that the table is probably stale after an idle time. */
    private isContended = false;
    /** Expected revision of a write whose response was lost and that may still take effect. */
    private unfencedRevision: number | undefined;
    private pending: PendingOperation[] = [];
    private inFlight: InFlightCall | undefined;
    private resolvedWithoutCall: ResolvedOperation[] = [];

    private constructor(
        public readonly storeKey: string,
        private readonly options: ShardOptions,
    ) {}

    public static create(storeKey: string, options: ShardOptions): ClaimShard {
        return new ClaimShard(storeKey, options);
    }

    /** True if no operation is pending and no call is in flight, so that the shard may be evicted. */
    public isIdle(): boolean {
        return this.inFlight === undefined && this.pending.length === 0;
    }

    /** True if operations are pending and no call is in flight. */
    public isCallDue(): boolean {
        return this.inFlight === undefined && this.pending.length > 0;
    }

    /** Number of operations that are pending or in flight. */
    public unwrittenCount(): number {
        return this.pending.length + (this.inFlight?.batch.length ?? 0);
    }

    /** Records of the last table read or written, used to refuse requests while the store is unreachable. */
    public lastKnownTable(): ClaimTable {
        return this.table;
    }

    /** Queues an operation for the next write. */
    public add(operation: ClaimOperation): void {
        this.mustRead ||= this.isContended && this.isIdle();
        this.pending.push({ operation, mayBeWritten: false, hasFreshTable: false, isWithdrawn: false });
    }

    /** Abandons an unresolved claim, and releases it if it may have been written or may still be. */
    public withdraw(key: string, nonce: string): void {
        const isClaim = ({ operation }: PendingOperation) =>
            operation.kind === "claim" && operation.key === key && operation.nonce === nonce;
        const entry = this.pending.find(isClaim) ?? this.inFlight?.batch.find(isClaim);
        if (entry === undefined) {
            return;
        }
        entry.isWithdrawn = true;
        this.pending = this.pending.filter(other => other !== entry);
        const isInFlight = this.inFlight?.kind === "swap" && this.inFlight.batch.includes(entry);
        if (entry.mayBeWritten || isInFlight) {
            this.add({ kind: "release", key, nonce });
        }
    }

    /** Returns the next call, if one is due and none is in flight. `takeResolved` returns what needed no call. */
    public nextCall(): ShardCall | undefined {
        if (!this.isCallDue()) {
            return undefined;
        }
        if (this.mustRead) {
            return this.startRead();
        }
        const batch = this.pending.slice(0, this.options.maximumBatch);
        const draft = this.draft(batch);
        if (this.hasStaleRefusal(draft, batch)) {
            return this.startRead();
        }
        this.pending = this.pending.slice(batch.length);
        this.resolvedWithoutCall.push(...draft.resolved);
        if (draft.writes.length === 0) {
            return this.nextCall();
        }
        const writing = batch.filter(entry => draft.writes.includes(entry.operation));
        this.inFlight = { kind: "swap", batch: writing, draft };
        return { kind: "swap", expectedRevision: this.revision, value: draft.text };
    }

    /** Returns and clears the operations that `nextCall` resolved without a call. */
    public takeResolved(): readonly ResolvedOperation[] {
        const resolvedWithoutCall = this.resolvedWithoutCall;
        this.resolvedWithoutCall = [];
        return resolvedWithoutCall;
    }

    /** Handles the response to a read. */
    public handleReadResponse(result: Result<ReadResponse>): ShardStep {
        const batch = this.takeInFlightBatch();
        this.requeue(batch);
        if (!result.success) {
            return { resolved: [], fault: result.fault };
        }
        if (result.data.revision < this.revision) {
            const message =
                "the store returned a read that is older than one already seen; this read was ignored";
            return {
                resolved: [],
                fault: { code: "storeUnavailable", message, step: "claim", notRun: false },
            };
        }
        return this.loadEntry(result.data.entries[0], batch);
    }

    /** Handles the response to a compare-and-swap. */
    public handleSwapOutcome(outcome: SwapOutcome): ShardStep {
        const { draft } = this.inFlight ?? {};
        const batch = this.takeInFlightBatch();
        switch (outcome.kind) {
            case "swapped":
                this.acceptWrite(draft, outcome.revision);
                return { resolved: batch.map(asWritten) };
            case "conflict":
                this.requeue(batch);
                return this.loadAfterConflict(outcome.current, batch);
            case "notSent":
                this.requeue(batch);
                return { resolved: [], fault: outcome.fault };
            case "ambiguous":
                return this.handleLostResponse(batch, outcome.fault);
        }
    }

    private startRead(): ShardCall {
        this.inFlight = { kind: "read", batch: this.pending };
        this.pending = [];
        return { kind: "read" };
    }

    private draft(batch: readonly PendingOperation[]): ClaimDraft {
        return draftClaims(
            this.table,
            batch.map(entry => entry.operation),
            {
                writer: this.options.createNonce(),
                isFenced: this.unfencedRevision !== this.revision || !this.options.fencesLostWrites,
                applyOperation: this.options.applyOperation,
                tableLength: this.tableLength,
            },
        );
    }

    // Another attempt may still change a record that is not done, so such a record is read again before a claim is
    // refused because of it.
    private hasStaleRefusal(draft: ClaimDraft, batch: readonly PendingOperation[]): boolean {
        return draft.resolved.some(({ operation, outcome }) => {
            const isOpen = outcome.kind === "taken" && outcome.record.state !== "done";
            return isOpen && batch.some(entry => entry.operation === operation && !entry.hasFreshTable);
        });
    }

    private takeInFlightBatch(): readonly PendingOperation[] {
        const batch = this.inFlight?.batch ?? [];
        this.inFlight = undefined;
        return batch;
    }

    private requeue(batch: readonly PendingOperation[]): void {
        this.pending = [...batch.filter(entry => !entry.isWithdrawn), ...this.pending];
    }

    private acceptWrite(draft: ClaimDraft | undefined, revision: number): void {
        if (draft !== undefined) {
            this.table = draft.table;
            this.tableLength = draft.text.length;
            this.revision = revision;
            this.unfencedRevision = undefined;
        }
    }

    private handleLostResponse(batch: readonly PendingOperation[], fault: Fault): ShardStep {
        this.mustRead = true;
        this.unfencedRevision = this.revision;
        if (this.options.ambiguousCountsAs === "written") {
            return { resolved: batch.map(asWritten) };
        }
        for (const entry of batch) {
            entry.mayBeWritten = this.options.ambiguousCountsAs === "unknown";
        }
        this.requeue(batch);
        return { resolved: [], fault: this.options.ambiguousCountsAs === "failed" ? fault : undefined };
    }

    // An unusable value can neither record an outcome nor release a claim, so those operations are dropped.
    private handleUnusableValue(fault: Fault): ShardStep {
        this.mustRead = true;
        const dropped = this.pending.filter(entry => !isClaimEntry(entry));
        this.pending = this.pending.filter(isClaimEntry);
        const resolved = dropped.map(({ operation }) => ({ operation, outcome: { kind: "gone" } as const }));
        return { resolved, fault, isValueFault: true };
    }

    // The network may deliver a compare-and-swap twice, so the conflict may be with the first copy of this write.
    private loadAfterConflict(
        current: KeyValueEntry | undefined,
        batch: readonly PendingOperation[],
    ): ShardStep {
        const step = this.loadEntry(current, batch);
        for (const entry of batch) {
            const { key, nonce } = entry.operation;
            entry.mayBeWritten ||= this.table.get(key)?.nonce === nonce;
        }
        return step;
    }

    private loadEntry(entry: KeyValueEntry | undefined, batch: readonly PendingOperation[]): ShardStep {
        const parsed = entry === undefined ? undefined : safeParseClaims(entry.value);
        if (parsed !== undefined && !parsed.success) {
            return this.handleUnusableValue(parsed.fault);
        }
        // A value that existed before and is now absent was lost or has expired; claims on an empty value are not safe.
        if (entry === undefined && this.revision > 0) {
            const message = "a stored value of claims has disappeared; no claim can be made in it";
            return this.handleUnusableValue({ code: "storeConflict", message, step: "claim", notRun: false });
        }
        this.isContended ||= entry !== undefined && entry.modRevision !== this.revision;
        this.table = parsed?.data ?? emptyClaimTable;
        this.tableLength = entry?.value.length ?? 0;
        this.revision = entry?.modRevision ?? 0;
        this.mustRead = false;
        if (this.unfencedRevision !== this.revision) {
            this.unfencedRevision = undefined;
        }
        for (const pending of batch) {
            pending.hasFreshTable = true;
        }
        return { resolved: [] };
    }
}

function isClaimEntry({ operation }: PendingOperation): boolean {
    return operation.kind === "claim";
}

function asWritten({ operation }: PendingOperation): ResolvedOperation {
    return { operation, outcome: { kind: "written" } };
}
