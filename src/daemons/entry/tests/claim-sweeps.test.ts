import test from "ava";
import type { KeyValueEntry, KeyValueStore, SwapOutcome } from "../../../contracts/key-value-stores.js";
import { ClaimSweep, sweepLookbackBuckets } from "../../../core/claim-sweep.js";
import { succeed } from "../../../core/errors.js";
import { bucketOf, defaultKeyWindow, lastExpiredBucket } from "../../../core/idempotency-keys.js";
import { sweepBucket } from "../claim-sweeps.js";

const wall = 1_800_000_000_000;
const clock = { monotonicMilliseconds: () => 0, wallMilliseconds: () => wall };

test("sweeps only expired buckets assigned to the instance, in order", t => {
    const last = lastExpiredBucket(defaultKeyWindow, wall);
    t.true(last < bucketOf(wall - defaultKeyWindow.windowMilliseconds, defaultKeyWindow));
    const sweep = ClaimSweep.create(defaultKeyWindow, bucket => bucket % 2 === 0, wall);
    const first = sweep.nextExpiredBucket(wall) ?? 0;
    t.true(first % 2 === 0 && first - (last - sweepLookbackBuckets) <= 1);
    sweep.markSwept(first);
    t.is(sweep.nextExpiredBucket(wall), first + 2);
    sweep.markSwept(last);
    t.is(sweep.nextExpiredBucket(wall), undefined);
});

test("keeps a bucket due until each of its values is deleted", async t => {
    const sweep = ClaimSweep.create(defaultKeyWindow, () => true, wall);
    const bucket = sweep.nextExpiredBucket(wall) ?? 0;
    const deleted: string[] = [];
    const entry: KeyValueEntry = { key: `claims/${bucket}/0`, value: "{}", modRevision: 7 };
    const createStore = (outcome: SwapOutcome): Pick<KeyValueStore, "list" | "compareAndSwap"> => ({
        list: async () => succeed({ revision: 9, entries: [entry] }),
        compareAndSwap: async swap => {
            deleted.push(`${swap.key}@${swap.expectedRevision}`);
            return outcome;
        },
    });
    const conflict: SwapOutcome = { kind: "conflict", revision: 9, current: entry };
    await sweepBucket({ store: createStore(conflict), clock }, sweep, bucket);
    t.is(sweep.nextExpiredBucket(wall), bucket);
    await sweepBucket({ store: createStore({ kind: "swapped", revision: 10 }), clock }, sweep, bucket);
    t.is(sweep.nextExpiredBucket(wall), bucket + 1);
    t.deepEqual(deleted, [`${entry.key}@7`, `${entry.key}@7`]);
});
