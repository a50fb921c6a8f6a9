import test from "ava";
import { RetryBudget } from "../retry-budget.js";

const request = { deadline: 1_000, expectedMilliseconds: 100, isRetry: false };

test("a retry budget is a fraction of the first attempts and never saves up more than its reserve", t => {
    const budget = RetryBudget.create({ fraction: 0.5, reserve: 2 });
    t.is(budget.available(), 2);
    t.true(budget.tryTake(request, 0));
    t.true(budget.tryTake(request, 0));
    t.false(budget.tryTake(request, 0));
    budget.recordFirstAttempt();
    t.false(budget.tryTake(request, 0));
    budget.recordFirstAttempt();
    t.true(budget.tryTake(request, 0));
    for (let count = 0; count < 100; count += 1) {
        budget.recordFirstAttempt();
    }
    t.is(budget.available(), 2);
});

test("a retry is not retried again, retries respect the deadline, and a refusal takes nothing from the budget", t => {
    const budget = RetryBudget.create({ fraction: 0.5, reserve: 2 });
    t.false(budget.tryTake({ ...request, isRetry: true }, 0));
    t.false(budget.tryTake(request, 900));
    t.is(budget.available(), 2);
});
