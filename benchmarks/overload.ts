/** Goodput, refusals and idle slots with an offered load of one and two times the capacity. */
import type { Experiment } from "./experiment.js";
import { createArrivals, equalSubscribers } from "./fakes/arrivals.js";
import { measureCapacity } from "./fakes/capacity.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";
import type { Policy } from "./fakes/routing-simulation.js";
import {
    RoutingSimulation,
    fairPolicy,
    leastInFlightPolicy,
    roundRobinPolicy,
} from "./fakes/routing-simulation.js";

const subscribers = 60;
const warmUp = 60_000;
const end = 240_000;
const seconds = (end - warmUp) / 1_000;

/** Targets of issue 6. */
const target = { goodputRatio: 0.95, refusalMilliseconds: 50, idleWhileWaiting: 0.02 };

interface LoadFigures {
    readonly goodTokensPerSecond: number;
    readonly refusedFraction: number;
    readonly givenUpFraction: number;
    readonly refusalP95: number;
    readonly refusalP99: number;
    readonly firstTokenP95: number;
    readonly gapP95: number;
    readonly idleWhileWaiting: number;
    readonly lateTokensPerSecond: number;
}

function measureLoad(policy: Policy, seed: number, requestsPerSecond: number): LoadFigures {
    const rates = equalSubscribers("team", subscribers, requestsPerSecond / subscribers);
    const arrivals = createArrivals(rates, end, seed, () => 1);
    const simulation = RoutingSimulation.create({
        policy,
        seed,
        arrivals,
        teams: [createTeam("team")],
        warmUp,
        end,
    }).run();
    const { figures } = simulation;
    return {
        goodTokensPerSecond: round(figures.goodTokens / seconds, 1),
        refusedFraction: round(figures.refused / figures.offered),
        givenUpFraction: round(figures.givenUp / figures.offered),
        refusalP95: round(figures.refusal.percentile(95), 1),
        refusalP99: round(figures.refusal.percentile(99), 1),
        firstTokenP95: round(figures.firstToken.percentile(95), 1),
        gapP95: round(figures.gap.percentile(95), 1),
        idleWhileWaiting: round(simulation.idleFraction, 4),
        lateTokensPerSecond: round(figures.lateTokens / seconds, 1),
    };
}

function measure(policy: Policy, seed: number, capacity: number): Record<string, unknown> {
    const at100 = measureLoad(policy, seed, capacity);
    const at200 = measureLoad(policy, seed, 2 * capacity);
    return {
        policy: policy.name,
        goodputRatio: round(at200.goodTokensPerSecond / at100.goodTokensPerSecond),
        at100,
        at200,
    };
}

export const overload: Experiment = seed => {
    const capacity = measureCapacity(seed);
    const measured = measure(fairPolicy, seed, capacity);
    const at200 = measured["at200"] as LoadFigures;
    const baselines = [roundRobinPolicy, leastInFlightPolicy];
    return {
        experiment: "overload",
        seed,
        target,
        measured,
        baseline: Object.fromEntries(baselines.map(policy => [policy.name, measure(policy, seed, capacity)])),
        holds:
            (measured["goodputRatio"] as number) >= target.goodputRatio &&
            at200.refusalP95 <= target.refusalMilliseconds &&
            at200.idleWhileWaiting <= target.idleWhileWaiting,
    };
};
