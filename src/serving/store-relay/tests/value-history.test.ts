import test from "ava";
import type { KeyValueEntry } from "../../../contracts/key-value-stores.js";
import { ValueHistory } from "../value-history.js";

const megabyte = 1024 * 1024;

function entry(modRevision: number, length = 4_096, key = "configuration"): KeyValueEntry {
    return { key, value: "x".repeat(length), modRevision };
}

test("the value of a key at a revision is the newest version up to it, in whatever order they were read", t => {
    const history = ValueHistory.create();
    history.record(1, [entry(30), entry(10)]);
    history.record(1, [entry(20), entry(40, 10)]);
    t.is(history.newestAt("configuration", 9), undefined);
    t.is(history.newestAt("configuration", 25)?.modRevision, 20);
    t.is(history.find("configuration", 30)?.modRevision, 30);
    // Small values are not kept.
    t.is(history.newestAt("configuration", 50)?.modRevision, 30);
});

test("versions of another era of the store are not mixed", t => {
    const history = ValueHistory.create();
    history.record(2, [entry(10)]);
    history.record(1, [entry(20)]);
    t.is(history.newestAt("configuration", 50)?.modRevision, 10);
    history.record(3, [entry(5)]);
    t.is(history.find("configuration", 10), undefined);
    t.is(history.newestAt("configuration", 50)?.modRevision, 5);
});

test("the memory for versions is bounded, and the newest version is kept", t => {
    const history = ValueHistory.create();
    for (let revision = 1; revision <= 100; revision += 1) {
        history.record(1, [entry(revision), entry(revision, 4_096, `key-${revision}`)]);
        history.record(1, [entry(revision, megabyte, "large")]);
    }
    t.is(history.find("configuration", 94), undefined);
    t.is(history.newestAt("configuration", 95)?.modRevision, 95);
    t.is(history.find("large", 96), undefined);
    t.is(history.newestAt("large", 97)?.modRevision, 97);
    t.is(history.find("key-50", 50), undefined);
    history.record(1, [entry(200, 8 * megabyte, "large")]);
    t.is(history.newestAt("large", 200)?.modRevision, 200);
});
