/** One replica of eight runs four times slower for two minutes, then at normal speed. */
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
import type { Experiment } from "./experiment.js";
import { meanGap } from "../src/core/straggler-detector.js";

const engines = 8;
const load = 0.6;
const warmUp = 30_000;
const slowFrom = 60_000;
const slowUntil = 180_000;
const end = 270_000;
const slowdown = 4;
const straggler = "group-0";

/**
 * Times with the straggler relative to the same run without one; milliseconds after the slowdown until the straggler
 * has its share of requests again.
 */
const target = { firstTokenRatio: 1.2, gapRatio: 1.2, returnMilliseconds: 60_000 };

const unwatchedPolicy: Policy = {
    ...fairPolicy,
    name: "fair, pace not watched",
    createRouting: () => ({ detectsStragglers: false }),
};

/** Compares each replica's pace to the mean, as the paper on parallel downloads does. */
const meanPolicy: Policy = {
    ...fairPolicy,
    name: "fair, pace relative to the mean",
    createRouting: () => ({ paceReference: meanGap }),
};

interface Part {
    readonly simulation: RoutingSimulation;
    readonly returnedAt: number | undefined;
}

function run(policy: Policy, seed: number, capacity: number, factor: number): Part {
    const rates = equalSubscribers("team", 80, (load * capacity) / 80);
    const returns: { at: number | undefined } = { at: undefined };
    const simulation = RoutingSimulation.create({
        policy,
        seed,
        arrivals: createArrivals(rates, end, seed),
        teams: [createTeam("team")],
        engines,
        warmUp,
        end,
        prepare: prepared => {
            const engine = prepared.engines.get(straggler)!;
            prepared.loop.at(slowFrom, () => {
                engine.slowdown = factor;
            });
            prepared.loop.at(slowUntil, () => {
                engine.slowdown = 1;
                prepared.loop.every(500, () => {
                    returns.at ??= hasReturned(prepared) ? prepared.loop.now() : undefined;
                });
            });
        },
    });
    simulation.run();
    return { simulation, returnedAt: returns.at };
}

/** Returns true once the straggler runs at least half as many requests as the others on average. */
function hasReturned(simulation: RoutingSimulation): boolean {
    const running = [...simulation.engines.values()].map(engine => engine.load.running);
    const mean = running.reduce((sum, count) => sum + count, 0) / running.length;
    return simulation.engines.get(straggler)!.load.running >= mean / 2;
}

function measure(policy: Policy, seed: number, capacity: number): Record<string, number | string> {
    const { simulation, returnedAt } = run(policy, seed, capacity, slowdown);
    const { figures } = simulation;
    const without = run(policy, seed, capacity, 1).simulation.figures;
    return {
        policy: policy.name,
        firstTokenP95: round(figures.firstToken.percentile(95), 1),
        firstTokenP99: round(figures.firstToken.percentile(99), 1),
        firstTokenP95Without: round(without.firstToken.percentile(95), 1),
        firstTokenRatio: round(figures.firstToken.percentile(95) / without.firstToken.percentile(95)),
        gapP95: round(figures.gap.percentile(95), 1),
        gapP99: round(figures.gap.percentile(99), 1),
        gapRatio: round(figures.gap.percentile(95) / without.gap.percentile(95)),
        goodTokensPerSecond: round(figures.goodTokens / ((end - warmUp) / 1_000), 1),
        lateTokens: figures.lateTokens,
        refused: figures.refused + figures.givenUp,
        returnMilliseconds: returnedAt === undefined ? -1 : returnedAt - slowUntil,
    };
}

export const stragglerExperiment: Experiment = seed => {
    const capacity = measureCapacity(seed, engines);
    const measured = measure(fairPolicy, seed, capacity);
    const baselines = [roundRobinPolicy, leastInFlightPolicy, unwatchedPolicy, meanPolicy];
    const returned = measured["returnMilliseconds"] as number;
    return {
        experiment: "straggler",
        seed,
        target,
        measured,
        baseline: Object.fromEntries(baselines.map(policy => [policy.name, measure(policy, seed, capacity)])),
        holds:
            (measured["firstTokenRatio"] as number) <= target.firstTokenRatio &&
            (measured["gapRatio"] as number) <= target.gapRatio &&
            returned >= 0 &&
            returned <= target.returnMilliseconds,
    };
};
