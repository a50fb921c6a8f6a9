import test from "ava";
import { IdleLimits } from "../idle-limits.js";

test("connections stay idle for less than the server announces, or for a few seconds", t => {
    const limits = IdleLimits.create();
    t.is(limits.allowedIdleMilliseconds(undefined, 0), 4_000);
    t.is(limits.allowedIdleMilliseconds(10_000, 0), 8_500);
    t.true(limits.allowedIdleMilliseconds(1_000, 0) <= 0);
});

test("two dropped connections shorten the idle limit until the learnt limit expires", t => {
    const limits = IdleLimits.create();
    limits.recordDropped(2_000, 900);
    t.is(limits.allowedIdleMilliseconds(undefined, 900), 4_000);
    limits.recordDropped(2_000, 1_000);
    t.is(limits.allowedIdleMilliseconds(undefined, 1_000), 1_200);
    limits.recordDropped(3_000, 2_000);
    t.is(limits.allowedIdleMilliseconds(undefined, 2_000), 1_200);
    limits.recordDropped(400, 3_000);
    t.is(limits.allowedIdleMilliseconds(undefined, 3_000), 300);
    t.is(limits.allowedIdleMilliseconds(undefined, 63_000), 4_000);
});

test("no limit is learnt from servers that reset connections regardless of their idle time", t => {
    const limits = IdleLimits.create();
    limits.recordDropped(900, 1_000);
    limits.recordDropped(40, 1_100);
    limits.recordDropped(900, 1_200);
    limits.recordDropped(800, 1_300);
    t.is(limits.allowedIdleMilliseconds(undefined, 1_300), 4_000);
    limits.recordDropped(900, 12_000);
    limits.recordDropped(900, 12_100);
    t.is(limits.allowedIdleMilliseconds(undefined, 12_100), 540);
    limits.recordDropped(20, 12_200);
    t.is(limits.allowedIdleMilliseconds(undefined, 12_200), 4_000);
});
