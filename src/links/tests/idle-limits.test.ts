import test from "ava";
import { IdleLimits } from "../idle-limits.js";

test("connections stay idle for less than the server announces, or for a few seconds", t => {
    const limits = IdleLimits.create();
    t.is(limits.allowed(undefined, 0), 4_000);
    t.is(limits.allowed(10_000, 0), 8_500);
    t.true(limits.allowed(1_000, 0) <= 0);
});

test("two dropped connections shorten the idle limit until the learnt limit expires", t => {
    const limits = IdleLimits.create();
    limits.noteDropped(2_000, 900);
    t.is(limits.allowed(undefined, 900), 4_000);
    limits.noteDropped(2_000, 1_000);
    t.is(limits.allowed(undefined, 1_000), 1_200);
    limits.noteDropped(3_000, 2_000);
    t.is(limits.allowed(undefined, 2_000), 1_200);
    limits.noteDropped(400, 3_000);
    t.is(limits.allowed(undefined, 3_000), 300);
    t.is(limits.allowed(undefined, 63_000), 4_000);
});

test("no limit is learnt from servers that reset connections regardless of their idle time", t => {
    const limits = IdleLimits.create();
    limits.noteDropped(900, 1_000);
    limits.noteDropped(40, 1_100);
    limits.noteDropped(900, 1_200);
    limits.noteDropped(800, 1_300);
    t.is(limits.allowed(undefined, 1_300), 4_000);
    limits.noteDropped(900, 12_000);
    limits.noteDropped(900, 12_100);
    t.is(limits.allowed(undefined, 12_100), 540);
    limits.noteDropped(20, 12_200);
    t.is(limits.allowed(undefined, 12_200), 4_000);
});
