/**
 * Tracks which replicas hold which prompt blocks, from their cache events (late, with gaps) and from the prompts
 * dispatched to them. A block that no event confirms expires; a gap in a replica's events makes its blocks unconfirmed.
 */
import type { CacheEvent } from "../contracts/engines.js";
import type { ReplicaGroupId } from "./replica-groups.js";

/** Time until an unconfirmed block expires, in milliseconds. */
export const unconfirmedBlockMilliseconds = 10_000;
/** Maximum blocks tracked per replica; the oldest are dropped first. */
export const maximumBlocksPerReplica = 2_048;

interface HeldBlocks {
    sequence: number;
    /** Expiry by block, Infinity once confirmed; oldest first. */
    readonly expiryByBlock: Map<string, number>;
}

/** Index of the blocks held by all replicas. */
export class PrefixIndex {
    private readonly replicas = new Map<ReplicaGroupId, HeldBlocks>();

    private constructor() {}

    public static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Sequence number of the last event seen from a replica; 0 if there is none. */
    public sequenceOf(replica: ReplicaGroupId): number {
        return this.replicas.get(replica)?.sequence ?? 0;
    }

    /** Records that a prompt was dispatched to a replica, which will soon hold its blocks. */
    public recordDispatch(replica: ReplicaGroupId, blocks: readonly string[], now: number): void {
        const held = this.heldBlocksOf(replica);
        for (const block of blocks) {
            if (held.expiryByBlock.get(block) !== Infinity) {
                insertBlock(held, block, now + unconfirmedBlockMilliseconds);
            }
        }
    }

    /** Applies cache events; duplicate and old events are ignored. */
    public apply(replica: ReplicaGroupId, events: readonly CacheEvent[], now: number): void {
        const held = this.heldBlocksOf(replica);
        for (const event of events) {
            if (event.sequence <= held.sequence) {
                continue;
            }
            if (event.sequence > held.sequence + 1) {
                markUnconfirmed(held, now);
            }
            held.sequence = event.sequence;
            applyEvent(held, event);
        }
    }

    /** Drops the blocks of a replica, for example after its engine has restarted. */
    public remove(replica: ReplicaGroupId): void {
        this.replicas.delete(replica);
    }

    /** Returns how many leading blocks a replica probably holds. */
    public countMatchingBlocks(replica: ReplicaGroupId, blocks: readonly string[], now: number): number {
        const held = this.replicas.get(replica);
        if (held === undefined) {
            return 0;
        }
        let matched = 0;
        while (matched < blocks.length && (held.expiryByBlock.get(blocks[matched]!) ?? 0) > now) {
            matched += 1;
        }
        return matched;
    }

    private heldBlocksOf(replica: ReplicaGroupId): HeldBlocks {
        let held = this.replicas.get(replica);
        if (held === undefined) {
            held = { sequence: 0, expiryByBlock: new Map() };
            this.replicas.set(replica, held);
        }
        return held;
    }
}

function applyEvent(held: HeldBlocks, event: CacheEvent): void {
    switch (event.kind) {
        case "stored":
            insertBlock(held, event.block, Infinity);
            return;
        case "evicted":
            held.expiryByBlock.delete(event.block);
            return;
        case "cleared":
            held.expiryByBlock.clear();
            return;
    }
}

function insertBlock(held: HeldBlocks, block: string, deadline: number): void {
    held.expiryByBlock.delete(block);
    held.expiryByBlock.set(block, deadline);
    if (held.expiryByBlock.size <= maximumBlocksPerReplica) {
        return;
    }
    for (const oldest of held.expiryByBlock.keys()) {
        held.expiryByBlock.delete(oldest);
        return;
    }
}

function markUnconfirmed(held: HeldBlocks, now: number): void {
    for (const [block, deadline] of held.expiryByBlock) {
        held.expiryByBlock.set(block, Math.min(deadline, now + unconfirmedBlockMilliseconds));
    }
}
