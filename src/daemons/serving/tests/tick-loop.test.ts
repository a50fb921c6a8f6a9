import { setTimeout as pause } from "node:timers/promises";
import test from "ava";
import { systemClock } from "../../../links/system-clock.js";
import { TickLoop } from "../tick-loop.js";

function blockEventLoop(milliseconds: number): void {
    const until = systemClock.monotonicMilliseconds() + milliseconds;
    while (systemClock.monotonicMilliseconds() < until) {
        // Nothing else is handled meanwhile.
    }
}

function startLoop(): TickLoop {
    return TickLoop.create({
        clock: systemClock,
        onTick: () => undefined,
        facts: now => ({ isBusy: true, nextCheckAt: Infinity, nextMessageAt: now + 20 }),
    });
}

test.serial("a signal that is handled after the event loop stood still counts from before the standstill", async t => {
    const ticks = startLoop();
    await pause(100);
    const before = systemClock.monotonicMilliseconds();
    blockEventLoop(400);
    t.true(ticks.promptSince <= before + 1);
    // A signal is handled in the poll phase, which follows the late tick.
    const sinceInPoll = await new Promise<number>(resolve => setImmediate(() => resolve(ticks.promptSince)));
    t.true(sinceInPoll <= before + 1);
    ticks.stop();
});

test.serial("a signal that is handled in time counts from its handling", async t => {
    const ticks = startLoop();
    await pause(100);
    const now = systemClock.monotonicMilliseconds();
    t.true(now - ticks.promptSince < 60);
    ticks.stop();
});
