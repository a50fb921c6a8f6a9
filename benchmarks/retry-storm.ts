/** Two of four engines refuse all work for half a minute while the serving gate does not know it yet. */
import { RetryBudget } from "../src/core/retries.js";
import type { Experiment } from "./experiments.js";
import type { Arrival } from "./fakes/callers.js";
import { createArrivals, equalSubscribers } from "./fakes/callers.js";
import { measureCapacity } from "./fakes/capacities.js";
import type { MayRetry, OnRefused } from "./fakes/entries.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/teams.js";
import type { Policy } from "./fakes/worlds.js";
import { World, fairPolicy, leastInFlightPolicy } from "./fakes/worlds.js";

const warmUp = 30_000;
const failFrom = 60_000;
const failUntil = 90_000;
const end = 150_000;
const load = 0.9;
const expectedMilliseconds = 12_000;
/** Times a caller comes back after a refusal. */
const callerReturns = 3;
/** Wait of a caller that is not told when to come back, in milliseconds. */
const impatientMilliseconds = 50;

/**
 * Retries per first send; goodput of the time after the failure relative to before it; time until the callers' wait is
 * as before is seen in `firstTokenP95After`.
 */
const target = { retryFraction: 0.1, goodputAfter: 0.95 };

/** How retries are decided, by the entry and by its callers. */
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

function returning(rule: RetryRule, world: World): OnRefused {
    const returns = new Map<string, number>();
    return (arrival, retryAt, now) => {
        const first = arrival.id.split("#")[0]!;
        const count = (returns.get(first) ?? 0) + 1;
        returns.set(first, count);
        if (count > callerReturns) {
            return;
        }
        const at = rule.honoursRetryAt && retryAt !== undefined ? retryAt : now + impatientMilliseconds;
        world.loop.at(at, () => {
            world.send({ ...arrival, id: `${first}#${count}`, at: world.loop.now() });
        });
    };
}

function measure(
    rule: RetryRule,
    seed: number,
    arrivals: readonly Arrival[],
): Record<string, number | string> {
    const world = World.create({
        policy: rule.policy,
        seed,
        arrivals,
        teams: [createTeam("team")],
        warmUp,
        end,
        mayRetry: rule.createMayRetry(),
        onRefused: created => returning(rule, created),
        prepare: prepared => {
            scheduleFailure(prepared);
        },
    });
    world.loop.runUntil(failFrom);
    const goodBefore = world.figures.goodTokens / ((failFrom - warmUp) / 1_000);
    const { sends, failures } = world.figures;
    world.loop.runUntil(failUntil);
    const sendsDuring = world.figures.sends - sends;
    const failuresDuring = world.figures.failures - failures;
    const good = world.figures.goodTokens;
    world.loop.runUntil(end);
    const { figures } = world;
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

function scheduleFailure(world: World): void {
    const failing = ["group-0", "group-1"].map(id => world.engines.get(id)!);
    world.loop.at(failFrom, () => {
        for (const engine of failing) {
            engine.fail();
        }
    });
    world.loop.at(failUntil, () => {
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
