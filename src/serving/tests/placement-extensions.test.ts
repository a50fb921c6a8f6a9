import test from "ava";
import type { ExtensionQuestion } from "../placement-extensions.js";
import {
    foreignTakeoverMilliseconds,
    longestExtensionMilliseconds,
    mayGoOn,
} from "../placement-extensions.js";

const outage: ExtensionQuestion = {
    now: 10_000,
    heldAt: 8_500,
    storeReachedAt: 7_000,
    leaseMilliseconds: 1_500,
    neighbours: [{ heardAt: 9_900, storeAge: 2_900 }],
};

test("a placer goes on while no entry instance of its failure domain reaches the store", t => {
    t.true(mayGoOn(outage));
});

test("it stops when another one may hold the lease", t => {
    t.false(mayGoOn({ ...outage, neighbours: [{ heardAt: 9_900, storeAge: 100 }] }));
    t.false(mayGoOn({ ...outage, neighbours: [{ heardAt: 9_000, storeAge: 2_900 }] }));
    t.false(mayGoOn({ ...outage, neighbours: [{ heardAt: undefined, storeAge: 0 }] }));
});

test("it stops when it reaches the store itself, since its lease is then somebody's", t => {
    t.false(mayGoOn({ ...outage, storeReachedAt: 9_900 }));
});

test("it stops before other failure domains take over", t => {
    t.false(mayGoOn({ ...outage, now: outage.heldAt + longestExtensionMilliseconds + 1, neighbours: [] }));
    t.true(foreignTakeoverMilliseconds > longestExtensionMilliseconds + outage.leaseMilliseconds);
});
