import { setTimeout as pause } from "node:timers/promises";
import test from "ava";
import { TickLoop } from "../tick-loop.js";

/** Starts a loop on a clock that stands still between its steps, whatever the machine does meanwhile. */
function startLoop(): {
    readonly ticks: TickLoop;
    readonly advance: (milliseconds: number) => void;
    readonly now: () => number;
} {
    let now = 1_000;
    const ticks = TickLoop.create({
        clock: { monotonicMilliseconds: () => now, wallMilliseconds: () => now },
        onTick: () => undefined,
        facts: () => ({ isBusy: true, nextCheckAt: Infinity, nextMessageAt: now + 20 }),
    });
    return { ticks, advance: milliseconds => (now += milliseconds), now: () => now };
}

test.serial(
    "a signal that is handled after the event loop stood still counts from before the standstill",
    async t => {
        const { ticks, advance, now } = startLoop();
        const before = now();
        advance(400);
        t.is(ticks.promptSince, before);
        // A signal is handled in the poll phase, which may follow the late tick.
        ticks.bringForward();
        advance(100);
        await new Promise(resolve => setImmediate(resolve));
        t.is(ticks.promptSince, before);
        ticks.stop();
    },
);

test("a signal that is handled in time counts from its handling", async t => {
    const { ticks, advance, now } = startLoop();
    t.is(ticks.promptSince, now());
    advance(10);
    t.is(ticks.promptSince, now());
    await pause(200);
    advance(5);
    t.is(ticks.promptSince, now());
    ticks.stop();
});

test("once a tick comes in time again, a signal counts from its handling", async t => {
    const { ticks, advance, now } = startLoop();
    advance(400);
    await pause(400);
    t.is(ticks.promptSince, now());
    ticks.stop();
});
