import test from "ava";
import { from as fromValues } from "rxjs";
import type {
    KeyValueEntry,
    KeyValueStore,
    SwapOutcome,
    WatchEvent,
} from "../../../contracts/key-value-stores.js";
import type { Fault } from "../../../core/errors.js";
import { fail, succeed } from "../../../core/errors.js";
import type { WriteOutcome } from "../writes.js";
import { writeOnce } from "../writes.js";

const key = "config/teams/izmir/share";
const lost: Fault = { code: "storeAmbiguous", message: "no answer", step: "store", notRun: false };
const unused = (): never => {
    throw new Error("not used by writes");
};

/** A store whose swap gives `outcome`, and which then holds these values of the key, oldest first. */
function storeAfter(
    outcome: SwapOutcome,
    history: readonly KeyValueEntry[],
    isReadable = true,
): { readonly store: KeyValueStore; readonly swaps: () => number } {
    let swaps = 0;
    const last = history.at(-1);
    const store: KeyValueStore = {
        compareAndSwap: () => {
            swaps += 1;
            return Promise.resolve(outcome);
        },
        get: () =>
            Promise.resolve(
                isReadable
                    ? succeed({ revision: last?.modRevision ?? 0, entries: last === undefined ? [] : [last] })
                    : fail(lost),
            ),
        watch: (_, from) =>
            fromValues(
                history
                    .filter(entry => entry.modRevision >= from)
                    .map((entry): WatchEvent => {
                        return { kind: "changes", revision: entry.modRevision, puts: [entry], deletes: [] };
                    }),
            ),
        list: unused,
        grantLease: unused,
        renewLease: unused,
        revokeLease: unused,
    };
    return { store, swaps: () => swaps };
}

function entry(value: string, modRevision: number): KeyValueEntry {
    return { key, value, modRevision };
}

async function write(
    outcome: SwapOutcome,
    history: readonly KeyValueEntry[],
    isReadable = true,
): Promise<WriteOutcome> {
    const { store, swaps } = storeAfter(outcome, history, isReadable);
    const clock = { monotonicMilliseconds: () => 0, wallMilliseconds: () => 0 };
    const result = await writeOnce(
        { store, clock, callMilliseconds: 50 },
        { key, value: "3", expectedRevision: 5 },
    );
    if (swaps() !== 1) {
        throw new Error("the write was repeated");
    }
    return result;
}

const ambiguous: SwapOutcome = { kind: "ambiguous", fault: lost };

test("a lost race shows the other operator's value", async t => {
    const current = entry("9", 6);
    const outcome = await write({ kind: "conflict", revision: 6, current }, [current]);
    t.deepEqual(outcome, { kind: "lostRace", current });
});

test("a lost answer is resolved from the key's history", async t => {
    const seen = entry("1", 5);
    t.deepEqual(await write(ambiguous, [seen, entry("3", 6)]), { kind: "accepted", revision: 6 });
    t.deepEqual(await write(ambiguous, [seen, entry("3", 6), entry("9", 7)]), {
        kind: "superseded",
        current: entry("9", 7),
    });
    t.deepEqual(await write(ambiguous, [seen, entry("9", 6)]), { kind: "lostRace", current: entry("9", 6) });
});

test("a later equal value of another operator is not taken for one's own", async t => {
    const outcome = await write(ambiguous, [entry("1", 5), entry("9", 6), entry("3", 7)]);
    t.is(outcome.kind, "lostRace");
});

test("a lost answer that the history does not show stays not known", async t => {
    t.is((await write(ambiguous, [entry("1", 5)])).kind, "notKnown");
    t.is((await write(ambiguous, [entry("1", 5)], false)).kind, "notKnown");
});
