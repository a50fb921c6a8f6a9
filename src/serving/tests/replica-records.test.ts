import test from "ava";
import { ReplicaRecords } from "../replica-records.js";

test("a replica that fails three times in a row is left alone for a while, and then tried again", t => {
    const records = ReplicaRecords.create();
    records.recordFailure("a", 0);
    records.recordFailure("a", 100);
    t.false(records.isEjected("a", 200));
    records.recordFailure("a", 200);
    t.true(records.isEjected("a", 2_000));
    t.false(records.isEjected("a", 3_300));
    records.recordSuccess("a", 50);
    t.false(records.isEjected("a", 300));
});

test("a replica that does not take such requests is left alone until its new state is known", t => {
    const records = ReplicaRecords.create();
    records.recordMisdirected("a", 1_000);
    t.true(records.isEjected("a", 2_900));
    t.false(records.isEjected("b", 2_900));
    t.false(records.isEjected("a", 3_100));
    records.recordMisdirected("a", 4_000);
    records.keepOnly(new Set(["b"]));
    t.false(records.isEjected("a", 4_100));
});

test("a failing and a busy replica cost more than one that answers", t => {
    const records = ReplicaRecords.create();
    records.start("busy");
    records.recordFailure("failing", 1_000);
    t.true(records.costOf("busy", 4, 1_000) > records.costOf("idle", 4, 1_000));
    t.true(records.costOf("failing", 4, 1_000) > records.costOf("busy", 4, 1_000));
    records.end("busy");
    t.is(records.costOf("busy", 4, 1_000), 0);
});
