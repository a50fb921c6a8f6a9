import test from "ava";
import * as fc from "fast-check";
import { slotCreditOf, entriesPerReplica, minimumSlotsPerEntry } from "../credits.js";
import { hashText } from "../hashes.js";
import { blocksOf } from "../prefix-blocks.js";
import { PrefixIndex, unconfirmedBlockMilliseconds } from "../prefix-index.js";
import { createRandomGenerator } from "../random-numbers.js";
import type { RouterOptions } from "../router.js";
import { Router } from "../router.js";
import { StragglerDetector, initialEjectionMilliseconds, meanGap } from "../straggler-detector.js";

const slots = 8;
const prompt = "word ".repeat(200);

function routed(id: string, failureDomain = "home") {
    const model = { model: "drafts", version: "1" };
    const group = { id, model, fabricDomain: "f", members: [id], epoch: 1, state: "serving" as const };
    return { group, failureDomain };
}

function createRouter(groups: number, options: Partial<RouterOptions> = {}): Router {
    const random = createRandomGenerator(1);
    const router = Router.create({
        entry: "a",
        failureDomain: "home",
        isOpen: () => true,
        random,
        ...options,
    });
    const names = Array.from({ length: groups }, (...[, index]) => `group-${index}`);
    router.applyGroups(names.map(name => routed(name)));
    names.forEach(name => router.observe(name, { running: 0, waiting: 0, slots }, 0));
    return router;
}

function request(id: string, borrowed = false) {
    return { id, model: "drafts", prompt, promptTokens: 200, borrowed };
}

function send(router: Router, id: string, now: number): string | undefined {
    const chosen = router.choose(request(id), now);
    if (!chosen.success) {
        return undefined;
    }
    router.dispatched(request(id), chosen.data.group.id, now);
    return chosen.data.group.id;
}

const entryLists = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 40 });
type CreditOf = typeof slotCreditOf;
const creditProperty = (credit: CreditOf) =>
    fc.property(entryLists, fc.integer({ min: 1, max: 128 }), (entries, replicaSlots) => {
        const credits = entries.map(entry => credit(entry, "group", replicaSlots, entries));
        const sum = credits.reduce((total, next) => total + next, 0);
        const users = credits.filter(next => next > 0);
        return (
            sum === replicaSlots &&
            users.length === entriesPerReplica(replicaSlots, entries.length) &&
            Math.min(...users) >= Math.min(minimumSlotsPerEntry, replicaSlots)
        );
    });

test("credits of all entries add up to a replica's slots, and each entry with credit has at least the minimum", t => {
    fc.assert(creditProperty(slotCreditOf), { seed: 6, numRuns: 300 });
    const even: CreditOf = (...[, , all, entries]) => Math.floor(all / entries.length);
    const own: CreditOf = (...[, , all]) => all;
    t.true([even, own].every(broken => fc.check(creditProperty(broken), { seed: 6 }).failed));
});

test("every request in flight is released exactly once, and an earlier attempt no longer counts", t => {
    const router = createRouter(2);
    const first = send(router, "r", 0)!;
    const other = first === "group-0" ? "group-1" : "group-0";
    router.dispatched(request("r"), other, 10);
    t.deepEqual([router.inFlightAt(first), router.inFlightAt(other), router.inFlight], [0, 1, 1]);
    router.finished("r", 20);
    router.failed("r", 20);
    t.deepEqual([router.inFlightAt(other), router.inFlight], [0, 0]);
});

test("the serving gate is checked at every choice; without an open group nothing is dispatched", t => {
    let open = true;
    for (const groups of [3, 60]) {
        const router = createRouter(groups, { isOpen: () => open });
        open = true;
        t.true(router.capacity("drafts", false, 0) > 0);
        open = false;
        const chosen = router.choose(request("r"), 1);
        t.true(!chosen.success && chosen.fault.code === "noReplica" && chosen.fault.notRun);
        t.is(router.capacity("drafts", false, 100), 0);
    }
});

test("an entry stays within its credits when all slots are taken, and gets more when others are unreachable", t => {
    const router = createRouter(2);
    const entries = ["a", "b"];
    router.applyEntries(entries);
    for (let index = 0; index < 20 && router.capacity("drafts", true, 0) > 0; index += 1) {
        send(router, `r${index}`, 0);
        ["group-0", "group-1"].forEach(id => {
            const running = Math.min(slots, router.inFlightAt(id) * 2);
            router.observe(id, { running, waiting: 0, slots }, 1_000);
        });
    }
    t.true(router.inFlight >= slots - 2 && router.inFlight <= slots);
    router.applyEntries(["a"]);
    ["group-0", "group-1"].forEach(id =>
        router.observe(id, { running: router.inFlightAt(id), waiting: 0, slots }, 2_000),
    );
    const room = router.capacity("drafts", false, 2_000);
    t.true(room > 0 && room <= 2 * slots - router.inFlight + 2);
});

test("an overloaded replica gets no more requests, and a report that is not later is ignored", t => {
    const router = createRouter(1);
    const report = {
        instance: "group-0",
        incarnation: 1,
        sequence: 2,
        state: "serving" as const,
        epoch: 1,
        leaving: false,
        load: { running: slots, waiting: 4, slots },
        warm: [],
    };
    router.observe("group-0", report.load, 0, report);
    t.is(router.capacity("drafts", false, 0), 0);
    router.observe("group-0", { running: 0, waiting: 0, slots }, 10, { ...report, sequence: 1 });
    t.is(router.capacity("drafts", false, 10), 0);
});

test("prompts with a common prefix go to one replica until it is loaded; blocks have the names that engines use", t => {
    const router = createRouter(4);
    const targets = ["1", "2", "3"].map(id => {
        const group = send(router, id, 0);
        router.progress(id, 1);
        return group;
    });
    t.is(new Set(targets).size, 1);
    const block = prompt.split(" ").slice(0, 64).join(" ") + " ";
    t.is(blocksOf(prompt)[0], hashText(block));
    t.is(blocksOf(prompt).length, 3);
});

test("old cache events are ignored, and after a gap blocks that are not confirmed again expire", t => {
    const index = PrefixIndex.create();
    index.apply("g", [{ sequence: 1, kind: "stored", block: "b" }], 0);
    index.apply("g", [{ sequence: 1, kind: "evicted", block: "b" }], 0);
    t.is(index.countMatchingBlocks("g", ["b"], 1e9), 1);
    index.apply("g", [{ sequence: 5, kind: "stored", block: "c" }], 10);
    t.is(index.countMatchingBlocks("g", ["b", "c"], 11), 2);
    t.is(index.countMatchingBlocks("g", ["b", "c"], 11 + unconfirmedBlockMilliseconds), 0);
    index.apply("g", [{ sequence: 6, kind: "cleared", block: "" }], 20);
    t.is(index.countMatchingBlocks("g", ["c"], 21), 0);
});

function feed(paces: StragglerDetector, gaps: Readonly<Record<string, number>>, now: number): void {
    for (const [replica, gap] of Object.entries(gaps)) {
        paces.recordStart(replica, now);
        for (let count = 0; count < 40; count += 1) {
            paces.recordProgress(replica, gap, now);
        }
        paces.recordEnd(replica, "finished", now);
    }
}

test("stragglers are ejected up to the limit, get a trial after a time, and return after a good trial", t => {
    const paces = StragglerDetector.create();
    feed(paces, { a: 30, b: 30, c: 30, d: 150, e: 150 }, 1_000);
    t.deepEqual(
        ["a", "d", "e"].map(replica => paces.serviceOf(replica, 2_000)),
        ["full", "ejected", "full"],
    );
    t.true(paces.slowdownOf("e", 2_000) > 3);
    const later = 2_000 + initialEjectionMilliseconds;
    t.is(paces.serviceOf("d", later), "trial");
    feed(paces, { d: 150 }, later);
    t.is(paces.serviceOf("d", later + initialEjectionMilliseconds), "ejected");
    feed(paces, { d: 30 }, later + 3 * initialEjectionMilliseconds);
    t.is(paces.serviceOf("d", later + 3 * initialEjectionMilliseconds), "full");
    const mean = StragglerDetector.create(meanGap);
    feed(mean, { a: 30, d: 150 }, 1_000);
    t.is(mean.serviceOf("d", 2_000), "full");
});

test("a replica that fails three times in a row is ejected", t => {
    const paces = StragglerDetector.create();
    feed(paces, { a: 30, b: 30 }, 0);
    for (let count = 0; count < 3; count += 1) {
        paces.recordStart("a", 10);
        paces.recordEnd("a", "failed", 10);
    }
    t.is(paces.serviceOf("a", 20), "ejected");
    t.is(paces.serviceOf("b", 20), "full");
});
