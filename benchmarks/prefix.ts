/** Prompts with shared prefixes, of which each replica's cache can hold only a part. */
import { createRandomGenerator } from "../src/core/random-numbers.js";
import type { Experiment } from "./experiment.js";
import type { Arrival } from "./fakes/arrivals.js";
import { createArrivals, equalSubscribers } from "./fakes/arrivals.js";
import { measureCapacity } from "./fakes/capacity.js";
import type { EngineShape } from "./fakes/fake-engine.js";
import { defaultShape } from "./fakes/fake-engine.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";
import type { Policy } from "./fakes/routing-simulation.js";
import {
    RoutingSimulation,
    fairPolicy,
    leastInFlightPolicy,
    roundRobinPolicy,
} from "./fakes/routing-simulation.js";
import { chooseByEstimate, defaultRouteCosts } from "../src/core/route-policies.js";

const sharedTexts = 48;
/** Tokens of one shared text: 16 blocks. */
const sharedTokens = 1_024;
const ownTokens = 60;
/** Each replica's cache holds about 18 of the 48 texts. */
const shape: EngineShape = { ...defaultShape, cacheBlocks: 288 };
const load = 0.6;
const warmUp = 30_000;
const end = 180_000;

/** Fraction of prompt tokens found in caches, and p95 first token relative to the better baseline. */
const target = { hitFraction: 0.7, firstTokenRatioToBaseline: 0.9 };

/** The policy of the product, but with prefix hits ignored in routing. */
const unawarePolicy: Policy = {
    ...fairPolicy,
    name: "fair, prefixes not used",
    createRouting: () => {
        const choose = chooseByEstimate({ ...defaultRouteCosts, preferredMilliseconds: 0 });
        return {
            chooseRoute: (candidates, promptTokens, random) =>
                choose(
                    candidates.map(candidate => ({ ...candidate, cachedTokens: 0 })),
                    promptTokens,
                    random,
                ),
        };
    },
};

function withSharedPrompts(arrivals: readonly Arrival[], seed: number): readonly Arrival[] {
    const random = createRandomGenerator(seed + 77);
    const texts = [...Array(sharedTexts).keys()].map(text => `text${text} word `.repeat(sharedTokens / 2));
    return arrivals.map(arrival => ({
        ...arrival,
        prompt: texts[Math.floor(random() ** 1.5 * sharedTexts)]!,
        promptTokens: sharedTokens + ownTokens,
    }));
}

function measure(policy: Policy, seed: number, capacity: number): Record<string, number | string> {
    const rates = equalSubscribers("team", 40, (load * capacity) / 40);
    const arrivals = withSharedPrompts(createArrivals(rates, end, seed), seed);
    const teams = [createTeam("team")];
    const simulation = RoutingSimulation.create({ policy, seed, arrivals, teams, shape, warmUp, end }).run();
    const { figures } = simulation;
    const engines = [...simulation.engines.values()];
    const hits = engines.reduce((sum, engine) => sum + engine.hitTokens, 0);
    const prompts = engines.reduce((sum, engine) => sum + engine.promptTokens, 0);
    return {
        policy: policy.name,
        hitFraction: round(hits / prompts),
        firstTokenP50: round(figures.firstToken.percentile(50), 1),
        firstTokenP95: round(figures.firstToken.percentile(95), 1),
        firstTokenP99: round(figures.firstToken.percentile(99), 1),
        gapP95: round(figures.gap.percentile(95), 1),
    };
}

export const prefix: Experiment = seed => {
    const capacity = measureCapacity(seed);
    const measured = measure(fairPolicy, seed, capacity);
    const baselines = [roundRobinPolicy, leastInFlightPolicy, unawarePolicy].map(policy =>
        measure(policy, seed, capacity),
    );
    const best = Math.min(...baselines.map(figures => figures["firstTokenP95"] as number));
    const ratio = round((measured["firstTokenP95"] as number) / best);
    return {
        experiment: "prefix",
        seed,
        target,
        measured: { ...measured, firstTokenRatioToBaseline: ratio },
        baseline: Object.fromEntries(baselines.map(figures => [figures["policy"], figures])),
        holds:
            (measured["hitFraction"] as number) >= target.hitFraction &&
            ratio <= target.firstTokenRatioToBaseline,
    };
};
