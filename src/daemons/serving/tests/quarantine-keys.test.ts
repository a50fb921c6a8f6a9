import test from "ava";
import type { KeyValueStore, Swap } from "../../../contracts/key-value-stores.js";
import { createLogs } from "../../../links/logs.js";
import { QuarantineKeys } from "../quarantine-keys.js";

const prefix = "chervil/quarantines/";
const entry = { key: `${prefix}a+b`, value: "crash", modRevision: 7 };

interface Recorded {
    readonly keys: QuarantineKeys;
    readonly swaps: Swap[];
    readonly adopted: string[];
    now: number;
    /** Lets the calls that have begun complete. */
    readonly settle: () => Promise<void>;
}

function create(rank = 0): Recorded {
    const unused = (): never => {
        throw new Error("the call is not expected");
    };
    const store: KeyValueStore = {
        list: unused,
        get: unused,
        renewLease: unused,
        revokeLease: unused,
        watch: unused,
        grantLease: () => Promise.resolve({ success: true, data: { id: "lease", deadline: 0 } }),
        compareAndSwap: swap => {
            recorded.swaps.push(swap);
            return Promise.resolve({ kind: "swapped", revision: 8 });
        },
    };
    const recorded: Recorded = {
        keys: QuarantineKeys.create({
            prefix,
            store,
            clock: { monotonicMilliseconds: () => recorded.now, wallMilliseconds: () => 0 },
            random: () => 0,
            rank: () => rank,
            onQuarantine: traits => recorded.adopted.push(traits.join()),
            log: createLogs("test", "error", { write: () => undefined })("store"),
        }),
        swaps: [],
        adopted: [],
        now: 0,
        settle: () => new Promise(resolve => setImmediate(resolve)),
    };
    return recorded;
}

test("the first rank writes a quarantine with a lease, a later one only if the watch does not show it", async t => {
    const [first, third] = [create(0), create(2)];
    const quarantine = { traits: ["a", "b"], lastRequestAt: 0 };
    first.keys.tick([quarantine]);
    third.keys.tick([quarantine]);
    await first.settle();
    t.deepEqual(first.swaps, [{ key: entry.key, expectedRevision: 0, value: "crash", lease: "lease" }]);
    third.keys.setEntries([entry]);
    third.now = 5_000;
    third.keys.tick([{ ...quarantine, lastRequestAt: 5_000 }]);
    await third.settle();
    t.deepEqual(third.swaps, []);
    t.deepEqual(third.adopted, ["a,b"]);
});

test("a quarantine is written again if a restored store lacks it, and once it is old while requests come", async t => {
    const each = create();
    each.keys.setEntries([entry]);
    each.now = 44_000;
    each.keys.tick([{ traits: ["a", "b"], lastRequestAt: each.now }]);
    await each.settle();
    t.is(each.swaps.length, 0);
    each.now = 46_000;
    each.keys.tick([{ traits: ["a", "b"], lastRequestAt: each.now }]);
    await each.settle();
    t.is(each.swaps[0]?.expectedRevision, 7);
    each.keys.setEntries([]);
    each.now = 60_000;
    each.keys.tick([{ traits: ["a", "b"], lastRequestAt: each.now }]);
    await each.settle();
    t.is(each.swaps[1]?.expectedRevision, 0);
});

test("a quarantine without a known recent request is not written, and calm times cost no call", async t => {
    const each = create();
    each.now = 100_000;
    each.keys.tick([]);
    each.keys.tick([{ traits: ["a"], lastRequestAt: undefined }]);
    each.keys.tick([{ traits: ["a"], lastRequestAt: 50_000 }]);
    await each.settle();
    t.deepEqual(each.swaps, []);
});
