/** All shards of claims that one entry instance works on, and the backoff after failures of the store. */
import type { ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import type { ClaimOperation, ResolvedOperation } from "./claim-operations.js";
import type { ClaimTable } from "./claim-records.js";
import { emptyClaimTable } from "./claim-records.js";
import type { ClaimCommand, ClaimOptions, ClaimRules, CurrentTime } from "./claim-rules.js";
import type { ShardCall, ShardStep } from "./claim-shard.js";
import { ClaimShard } from "./claim-shard.js";
import type { Result } from "./errors.js";

/** Store calls to make, and operations that were resolved without a call. */
export interface StartedCalls {
    readonly calls: readonly ClaimCommand[];
    readonly resolved: readonly ResolvedOperation[];
}

/** Shards by store key, the most recently used one last. */
export class ClaimShardSet {
    private readonly shards = new Map<string, ClaimShard>();
    private consecutiveFailures = 0;
    private unreachableUntil = -Infinity;

    private constructor(private readonly options: ClaimOptions & ClaimRules) {}

    public static create(options: ClaimOptions & ClaimRules): ClaimShardSet {
        return new ClaimShardSet(options);
    }

    /** True during the backoff after a failure of the store. */
    public isUnreachable(now: number): boolean {
        return now < this.unreachableUntil;
    }

    /** Time of the next attempt to call the store. */
    public retryAt(now: number): number {
        return Math.max(now, this.unreachableUntil);
    }

    /** True if no operation is pending or in flight. */
    public isIdle(): boolean {
        return [...this.shards.values()].every(shard => shard.isIdle());
    }

    /** Number of operations that are pending or in flight. */
    public unwrittenCount(): number {
        let count = 0;
        for (const shard of this.shards.values()) {
            count += shard.unwrittenCount();
        }
        return count;
    }

    /** Last known records of a stored value; empty if none are cached. */
    public lastKnownTable(storeKey: string): ClaimTable {
        return this.shards.get(storeKey)?.lastKnownTable() ?? emptyClaimTable;
    }

    /** Queues an operation on one stored value. */
    public add(storeKey: string, operation: ClaimOperation): void {
        const shard = this.shards.get(storeKey) ?? ClaimShard.create(storeKey, this.options);
        this.shards.delete(storeKey);
        this.shards.set(storeKey, shard);
        shard.add(operation);
        this.evict();
    }

    /** Abandons a claim; a release follows if the claim may have been written. */
    public withdraw(storeKey: string, key: string, nonce: string): void {
        this.shards.get(storeKey)?.withdraw(key, nonce);
    }

    public handleReadResponse(storeKey: string, result: Result<ReadResponse>, at: CurrentTime): ShardStep {
        return this.recordStoreResult(this.shards.get(storeKey)?.handleReadResponse(result), at);
    }

    public handleSwapOutcome(storeKey: string, outcome: SwapOutcome, at: CurrentTime): ShardStep {
        return this.recordStoreResult(this.shards.get(storeKey)?.handleSwapOutcome(outcome), at);
    }

    /** Starts every call that is due. */
    public startCalls(at: CurrentTime): StartedCalls {
        if (this.isUnreachable(at.now)) {
            return { calls: [], resolved: [] };
        }
        const calls: ClaimCommand[] = [];
        const resolved: ResolvedOperation[] = [];
        for (const shard of this.shards.values()) {
            if (shard.isCallDue()) {
                const call = shard.nextCall();
                resolved.push(...shard.takeResolved());
                calls.push(...(call === undefined ? [] : [this.toCommand(shard.storeKey, call, at)]));
            }
        }
        return { calls, resolved };
    }

    private toCommand(storeKey: string, call: ShardCall, at: CurrentTime): ClaimCommand {
        const deadline = at.now + this.options.storeTimeoutMilliseconds;
        if (call.kind === "read") {
            return { kind: "read", storeKey, deadline };
        }
        const { expectedRevision, value } = call;
        return { kind: "swap", swap: { key: storeKey, expectedRevision, value }, deadline };
    }

    private recordStoreResult(step: ShardStep | undefined, at: CurrentTime): ShardStep {
        if (step?.fault === undefined || step.isValueFault === true) {
            this.consecutiveFailures = 0;
            return step ?? { resolved: [] };
        }
        this.consecutiveFailures += 1;
        this.unreachableUntil = at.now + this.options.storeBackoffMilliseconds(this.consecutiveFailures);
        return step;
    }

    private evict(): void {
        for (const [storeKey, shard] of this.shards) {
            if (this.shards.size <= this.options.maximumCachedValues) {
                return;
            }
            if (shard.isIdle()) {
                this.shards.delete(storeKey);
            }
        }
    }
}
