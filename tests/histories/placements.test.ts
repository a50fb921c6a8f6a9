import test from "ava";
import fc from "fast-check";
import type { Mutant } from "../../benchmarks/placement-simulation.js";
import { heldUpOrdersPlan, historyPlan, unreachableLeaderPlan } from "./placement-plans.js";
import type { HistoryPlan } from "./placement-history.js";
import { runHistory } from "./placement-history.js";

const randomPlans = fc.sample(historyPlan, { numRuns: 60, seed: 1 });
const seeds = Array.from({ length: 40 }, (_, index) => index);
const leaderPlans = seeds.map(unreachableLeaderPlan);
const heldUpPlans = seeds.map(heldUpOrdersPlan);
const allPlans = [...randomPlans, ...leaderPlans.slice(0, 10), ...heldUpPlans.slice(0, 10)];

function isCaught(plans: readonly HistoryPlan[], mutant: Mutant): boolean {
    return plans.some(plan => runHistory(plan, mutant).breaches.length > 0);
}

test("no history has a breach, and enough groups serve after each recovery", t => {
    for (const plan of allPlans) {
        const outcome = runHistory(plan);
        t.deepEqual(outcome.breaches, [], JSON.stringify(plan));
        t.true(outcome.groupsAtEnd >= outcome.groupsExpected, JSON.stringify(plan));
    }
});

const mutants: readonly (readonly [Mutant, readonly HistoryPlan[]])[] = [
    ["gateSkipped", randomPlans],
    ["leaseUnchecked", randomPlans],
    ["oldEpochAccepted", randomPlans],
    ["takeoverWaitSkipped", heldUpPlans],
    ["movedWithoutRelease", randomPlans],
    ["settleSkipped", leaderPlans],
];

for (const [mutant, plans] of mutants) {
    test(`the checker finds the mutant ${mutant}`, t => {
        t.true(isCaught(plans, mutant));
    });
}
