import test from "ava";
import type { ShutdownFacts } from "../shutdown-step.js";
import { decideShutdownStep } from "../shutdown-step.js";

function decide(stoppingMilliseconds: number, facts: Partial<ShutdownFacts> = {}): string {
    return decideShutdownStep({
        gracePeriodMilliseconds: 8_000,
        isDrained: false,
        ...facts,
        elapsedMilliseconds: stoppingMilliseconds,
    });
}

test("requests are served until the load balancer has noticed the shutdown, even while no connection is open", t => {
    t.is(decide(0), "serve");
    t.is(decide(2_750, { isDrained: true }), "serve");
    t.is(decide(3_000), "finish");
});

test("a request that is sent three seconds after the signal is rejected if the signal was handled 200 ms late", t => {
    t.is(decide(3_000 - 200), "finish");
});

test("a process exits when no connection is open, or shortly before it would be killed", t => {
    t.is(decide(3_000, { isDrained: true }), "exit");
    t.is(decide(7_600, { isDrained: true }), "exit");
    t.is(decide(7_849), "end");
    t.is(decide(7_850), "exit");
});

test("open requests are ended while there is time to send their responses", t => {
    t.is(decide(7_500), "finish");
    t.is(decide(7_600), "end");
    t.is(decide(1_700, { gracePeriodMilliseconds: 2_000 }), "end");
});

test("requests are not taken so late in a short grace period that they cannot run", t => {
    t.is(decide(1_400, { gracePeriodMilliseconds: 3_000 }), "serve");
    t.is(decide(1_600, { gracePeriodMilliseconds: 3_000 }), "finish");
});
