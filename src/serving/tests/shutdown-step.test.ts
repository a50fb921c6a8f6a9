import test from "ava";
import type { ShutdownFacts } from "../shutdown-step.js";
import { decideShutdownStep } from "../shutdown-step.js";

function decide(stoppingMilliseconds: number, facts: Partial<ShutdownFacts> = {}): string {
    return decideShutdownStep({
        gracePeriodMilliseconds: 8_000,
        openRequests: 3,
        ...facts,
        elapsedMilliseconds: stoppingMilliseconds,
    });
}

test("requests are served until the load balancer has noticed the shutdown, even while none is open", t => {
    t.is(decide(0), "serve");
    t.is(decide(2_900, { openRequests: 0 }), "serve");
    t.is(decide(3_000), "finish");
});

test("a process exits when no request is open, or shortly before it would be killed", t => {
    t.is(decide(3_000, { openRequests: 0 }), "end");
    t.is(decide(7_500), "finish");
    t.is(decide(7_600), "end");
    t.is(decide(1_700, { gracePeriodMilliseconds: 2_000 }), "end");
});
