/** Two of four engines refuse all work for half a minute, before the serving gate detects it. */
import { RetryBudget } from "../src/core/retry-budget.js";
import type { Experiment } from "./experiment.js";
import type { Arrival } from "./fakes/arrivals.js";
import { createArrivals, equalSubscribers } from "./fakes/arrivals.js";
import { measureCapacity } from "./fakes/capacity.js";
import type { MayRetry, OnRefused } from "./fakes/fake-entry.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";
import type { Policy } from "./fakes/routing-simulation.js";
import { RoutingSimulation, fairPolicy, leastInFlightPolicy } from "./fakes/routing-simulation.js";

const warmUp = 30_000;
const failFrom = 60_000;
const failUntil = 90_000;
const end = 150_000;
const load = 0.9;
const expectedMilliseconds = 12_000;
/** Retries of a caller after refusals. */
const maximumCallerRetries = 3;
/** Retry delay of a caller that received no retry time, in milliseconds. */
const defaultRetryDelayMilliseconds = 50;

/**
 * Retries per first attempt; goodput after the failure relative to before it. `firstTokenP95After` shows whether the
 * callers' waiting time is as before.
 */
const target = { retryFraction: 0.1, goodputAfter: 0.95 };

/** Retry behaviour of the entry and of its callers. */
interface RetryRule {
    readonly name: string;
    readonly policy: Policy;
    readonly createMayRetry: () => MayRetry;
    readonly honoursRetryAt: boolean;
}

const budgetRule: RetryRule = {
    name: "budget",
    policy: fairPolicy,
    createMayRetry: () => {
        const budget = RetryBudget.create();
        const counted = new Set<string>();
        return (arrival, attempt, now) => {
            if (!counted.has(arrival.id)) {
                counted.add(arrival.id);
                budget.recordFirstAttempt();
            }
            const deadline = arrival.at + 60_000;
            return budget.tryTake({ deadline, expectedMilliseconds, isRetry: attempt > 1 }, now);
        };
    },
    honoursRetryAt: true,
};

const unlimitedRule: RetryRule = {
    name: "unlimited retries",
    policy: fairPolicy,
    createMayRetry: () => () => true,
    honoursRetryAt: false,
};

const unlimitedLeastInFlightRule: RetryRule = {
    ...unlimitedRule,
    name: "unlimited retries, FIFO + least in flight",
    policy: leastInFlightPolicy,
};

function createRetryingCaller(rule: RetryRule, simulation: RoutingSimulation): OnRefused {
    const retryCounts = new Map<string, number>();
    return (arrival, retryAt, now) => {
        const first = arrival.id.split("#")[0]!;
        const count = (retryCounts.get(first) ?? 0) + 1;
        retryCounts.set(first, count);
        if (count > maximumCallerRetries) {
            return;
        }
        const at =
            rule.honoursRetryAt && retryAt !== undefined ? retryAt : now + defaultRetryDelayMilliseconds;
        simulation.loop.at(at, () => {
            simulation.send({ ...arrival, id: `${first}#${count}`, at: simulation.loop.now() });
        });
    };
}

function measure(
    rule: RetryRule,
    seed: number,
    arrivals: readonly Arrival[],
): Record<string, number | string> {
    const simulation = RoutingSimulation.create({
        policy: rule.policy,
        seed,
        arrivals,
        teams: [createTeam("team")],
        warmUp,
        end,
        mayRetry: rule.createMayRetry(),
        onRefused: created => createRetryingCaller(rule, created),
        prepare: prepared => {
            scheduleFailure(prepared);
        },
    });
    simulation.loop.runUntil(failFrom);
    const goodBefore = simulation.figures.goodTokens / ((failFrom - warmUp) / 1_000);
    const { sends, failures } = simulation.figures;
    simulation.loop.runUntil(failUntil);
    const sendsDuring = simulation.figures.sends - sends;
    const failuresDuring = simulation.figures.failures - failures;
    const good = simulation.figures.goodTokens;
    simulation.loop.runUntil(end);
    const { figures } = simulation;
    return {
        rule: rule.name,
        retries: figures.retries,
        retryFraction: round(figures.retries / Math.max(1, figures.sends - figures.retries)),
        sendsDuring,
        failuresDuring,
        goodputAfter: round((figures.goodTokens - good) / ((end - failUntil) / 1_000) / goodBefore),
        completed: figures.completed,
        refused: figures.refused + figures.givenUp,
        firstTokenP95: round(figures.firstToken.percentile(95), 1),
    };
}

function scheduleFailure(simulation: RoutingSimulation): void {
    const failing = ["group-0", "group-1"].map(id => simulation.engines.get(id)!);
    simulation.loop.at(failFrom, () => {
        for (const engine of failing) {
            engine.fail();
        }
    });
    simulation.loop.at(failUntil, () => {
        for (const engine of failing) {
            engine.restore();
        }
    });
}

export const retryStorm: Experiment = seed => {
    const rate = (load * measureCapacity(seed)) / 60;
    const arrivals = createArrivals(equalSubscribers("team", 60, rate), end, seed, () => 1);
    const measured = measure(budgetRule, seed, arrivals) as Record<string, number>;
    const baselines = [unlimitedRule, unlimitedLeastInFlightRule];
    return {
        experiment: "retry-storm",
        seed,
        target,
        measured,
        baseline: Object.fromEntries(baselines.map(rule => [rule.name, measure(rule, seed, arrivals)])),
        holds:
            measured["retryFraction"]! <= target.retryFraction &&
            measured["goodputAfter"]! >= target.goodputAfter,
    };
};
