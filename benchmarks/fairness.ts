/** Fairness with one subscriber at 50 times the others' rate, at 70% and 120% of capacity; backlogged teams' shares. */
import type { Caller } from "../src/core/requests.js";
import type { Experiment } from "./experiment.js";
import { createArrivals, equalSubscribers } from "./fakes/arrivals.js";
import type { SubscriberRate } from "./fakes/arrivals.js";
import { measureCapacity } from "./fakes/capacity.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";
import type { Policy } from "./fakes/routing-simulation.js";
import {
    RoutingSimulation,
    fairPolicy,
    leastInFlightPolicy,
    localPolicy,
    roundRobinPolicy,
} from "./fakes/routing-simulation.js";

const others = 40;
const heavyFactor = 50;
const heavy: Caller = { team: "team", subscriber: "heavy" };
const warmUp = 30_000;
const end = 330_000;

/** Targets of issue 6. */
const target = {
    firstTokenRatio: 1.2,
    firstTokenMilliseconds70: 560,
    gapMilliseconds70: 43,
    jainIndex120: 0.98,
    teamShareError: 0.02,
    idleWhileWaiting120: 0.02,
};

function run(policy: Policy, seed: number, rates: readonly SubscriberRate[]): RoutingSimulation {
    return RoutingSimulation.create({
        policy,
        seed,
        arrivals: createArrivals(rates, end, seed),
        teams: [createTeam("team"), createTeam("small", 1), createTeam("middle", 2), createTeam("large", 5)],
        isHeavy: caller => caller.subscriber === heavy.subscriber,
        warmUp,
        end,
    }).run();
}

function measureLoad(policy: Policy, seed: number, load: number, capacity: number): Record<string, number> {
    const rate = (load * capacity) / (others + heavyFactor);
    const equal = equalSubscribers("team", others, rate);
    const callers = equal.map(subscriber => subscriber.caller);
    const without = run(policy, seed, equal);
    const heavyRate = { caller: heavy, requestsPerSecond: rate * heavyFactor };
    const withHeavy = run(policy, seed, [...equal, heavyRate]);
    const { figures } = withHeavy;
    return {
        firstTokenP50: round(figures.firstToken.percentile(50), 1),
        firstTokenP95: round(figures.firstToken.percentile(95), 1),
        firstTokenP99: round(figures.firstToken.percentile(99), 1),
        firstTokenP95Without: round(without.figures.firstToken.percentile(95), 1),
        firstTokenRatio: round(figures.firstToken.percentile(95) / without.figures.firstToken.percentile(95)),
        heavyFirstTokenP95: round(figures.heavyFirstToken.percentile(95), 1),
        gapP95: round(figures.gap.percentile(95), 1),
        gapP95Without: round(without.figures.gap.percentile(95), 1),
        jainIndex: round(figures.jainIndex(callers), 4),
        refusedFraction: round((figures.refused + figures.givenUp) / figures.offered),
        refusalP95: round(figures.refusal.percentile(95), 1),
        idleWhileWaiting: round(withHeavy.idleFraction, 4),
        waitingFraction: round(withHeavy.waitingSamples / withHeavy.samples),
        busyFraction: round(withHeavy.busyFraction / withHeavy.samples),
    };
}

/** Measures equal subscribers whose demand exceeds their fair share. */
function measureEqual(policy: Policy, seed: number, capacity: number): number {
    const equal = equalSubscribers("team", others, (1.2 * capacity) / others);
    const simulation = run(policy, seed, equal);
    return round(simulation.figures.jainIndex(equal.map(subscriber => subscriber.caller)), 4);
}

/** Three backlogged teams with shares 1, 2 and 5; returns the largest difference from the configured share. */
function measureTeams(policy: Policy, seed: number, capacity: number): number {
    const shares = { small: 1, middle: 2, large: 5 };
    const rates = Object.keys(shares).flatMap(team => equalSubscribers(team, 10, (0.9 * capacity) / 10));
    const { figures } = run(policy, seed, rates);
    const total = [...figures.costOfTeam.values()].reduce((sum, tokens) => sum + tokens, 0);
    const errors = Object.entries(shares).map(([team, share]) =>
        Math.abs((figures.costOfTeam.get(team) ?? 0) / total / (share / 8) - 1),
    );
    return round(Math.max(...errors), 4);
}

function measure(policy: Policy, seed: number, capacity: number): Record<string, unknown> {
    return {
        policy: policy.name,
        at70: measureLoad(policy, seed, 0.7, capacity),
        at120: measureLoad(policy, seed, 1.2, capacity),
        jainIndexEqual120: measureEqual(policy, seed, capacity),
        teamShareError: measureTeams(policy, seed, capacity),
    };
}

function holds(measured: Record<string, unknown>): boolean {
    const at70 = measured["at70"] as Record<string, number>;
    const at120 = measured["at120"] as Record<string, number>;
    return (
        at70["firstTokenRatio"]! <= target.firstTokenRatio &&
        at120["firstTokenRatio"]! <= target.firstTokenRatio &&
        at70["firstTokenP95"]! <= target.firstTokenMilliseconds70 &&
        at70["gapP95"]! <= target.gapMilliseconds70 &&
        at120["jainIndex"]! >= target.jainIndex120 &&
        (measured["jainIndexEqual120"] as number) >= target.jainIndex120 &&
        (measured["teamShareError"] as number) <= target.teamShareError &&
        at120["idleWhileWaiting"]! <= target.idleWhileWaiting120
    );
}

export const fairness: Experiment = seed => {
    const capacity = measureCapacity(seed);
    const measured = measure(fairPolicy, seed, capacity);
    const baselines = [roundRobinPolicy, leastInFlightPolicy, localPolicy];
    return {
        experiment: "fairness",
        seed,
        target,
        measured: { requestsPerSecondAtCapacity: round(capacity, 2), ...measured },
        baseline: Object.fromEntries(baselines.map(policy => [policy.name, measure(policy, seed, capacity)])),
        holds: holds(measured),
    };
};
