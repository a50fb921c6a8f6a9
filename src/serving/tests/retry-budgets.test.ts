import test from "ava";
import { EntryShares } from "../entry-shares.js";
import { RetryBudgets } from "../retry-budgets.js";

const settings = { windowMilliseconds: 10_000, fraction: 0, allowance: 40 };

function takeAll(budgets: RetryBudgets, service: string, now: number): number {
    let taken = 0;
    while (budgets.windowOf(service).tryTakeRetry(now)) {
        taken += 1;
    }
    return taken;
}

test("each service has its own budget, of which each entry instance has a share", t => {
    const shares = EntryShares.create("a");
    const budgets = RetryBudgets.create(settings, shares, -10_000);
    t.is(takeAll(budgets, "llm", 0), 0);
    shares.recordRegistered(["a", "b"], 0);
    shares.recordRegistered(["a", "b"], 700);
    budgets.applyEntryCount();
    const taken = takeAll(budgets, "llm", 800);
    t.true(taken > 10 && taken <= 20, `${taken}`);
    t.is(takeAll(budgets, "plain", 800), taken);
});

test("reapplied settings do not restore a spent budget", t => {
    const shares = EntryShares.create("a");
    shares.recordRegistered(["a"], 0);
    shares.recordRegistered(["a"], 700);
    const budgets = RetryBudgets.create(settings, shares, -10_000);
    t.true(takeAll(budgets, "llm", 1_000) > 0);
    budgets.applySettings(settings);
    t.is(takeAll(budgets, "llm", 1_100), 0);
});
