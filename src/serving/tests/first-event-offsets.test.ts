import test from "ava";
import { createRandomGenerator } from "../../core/random-numbers.js";
import { FirstEventOffsets } from "../first-event-offsets.js";

test("a fixed delay is learnt although some first events also wait in queues", t => {
    const random = createRandomGenerator(5);
    const offsets = FirstEventOffsets.create();
    for (let count = 0; count < 150; count += 1) {
        const queueMilliseconds = random() < 0.3 ? 400 * random() : 20 * random();
        offsets.record("small", 120 + queueMilliseconds - offsets.offsetOf("small"));
    }
    t.true(
        offsets.offsetOf("small") > 100 && offsets.offsetOf("small") < 160,
        `${offsets.offsetOf("small")}`,
    );
    t.is(offsets.offsetOf("large"), 0);
});

test("an offset decreases again, but not below zero", t => {
    const offsets = FirstEventOffsets.create();
    for (let count = 0; count < 100; count += 1) {
        offsets.record("small", 500);
    }
    t.true(offsets.offsetOf("small") > 200);
    for (let count = 0; count < 200; count += 1) {
        offsets.record("small", -50);
    }
    t.is(offsets.offsetOf("small"), 0);
});
