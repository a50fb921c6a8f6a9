import test from "ava";
import { ClaimShard } from "../claim-shard.js";
import { applyOperationToRecord } from "../claim-operations.js";

test("a withdrawn claim is released if its compare-and-swap was delivered twice and conflicted with itself", t => {
    let writes = 0;
    const shard = ClaimShard.create("claims/1/0", {
        maximumBatch: 8,
        ambiguousCountsAs: "unknown",
        fencesLostWrites: true,
        applyOperation: applyOperationToRecord,
        createNonce: () => `writer-${(writes += 1)}`,
    });
    const record = { digest: "d", nonce: "n", state: "claimed", until: 1 } as const;
    shard.add({ kind: "claim", key: "k", nonce: "n", record });
    const swap = shard.nextCall();
    t.is(swap?.kind, "swap");
    const value = swap?.kind === "swap" ? swap.value : "";
    const current = { key: "claims/1/0", value, modRevision: 2 };
    shard.handleSwapOutcome({ kind: "conflict", revision: 2, current });
    shard.withdraw("k", "n");
    t.is(shard.nextCall()?.kind, "read", "a contended value is read before it is written again");
    shard.handleReadResponse({ success: true, data: { revision: 2, entries: [current] } });
    const release = shard.nextCall();
    t.true(release?.kind === "swap" && release.expectedRevision === 2 && !release.value.includes('"k"'));
});
