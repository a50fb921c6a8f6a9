/** One failure domain of three is cut off from the others for a minute, with a heavy subscriber on all entries. */
import type { Caller } from "../src/core/requests.js";
import type { Experiment } from "./experiments.js";
import type { Arrival } from "./fakes/callers.js";
import { createArrivals, equalSubscribers } from "./fakes/callers.js";
import { measureCapacity } from "./fakes/capacities.js";
import type { FakeEngine } from "./fakes/engines.js";
import { Figures, round } from "./fakes/figures.js";
import { createTeam } from "./fakes/teams.js";
import type { Policy } from "./fakes/worlds.js";
import { World, fairPolicy, leastInFlightPolicy, localPolicy } from "./fakes/worlds.js";

const cut = "domain-2";
const heavy: Caller = { team: "team", subscriber: "heavy" };
const others = 40;
const heavyFactor = 50;
const load = 1.1;
const before = 30_000;
const cutFrom = 90_000;
const cutUntil = 150_000;
const healed = 160_000;
const end = 210_000;
/** Time after which membership has seen the cut, or its end. */
const membershipMilliseconds = 5_000;

/**
 * Tokens of the cut domain's engines relative to before, the most requests at one of them relative to its slots, p95
 * first token of the others relative to before, the heavy subscriber's tokens within 10 s of the end of the cut
 * relative to before (a lump of old counters would stop it), and Jain's index of the others over the whole run.
 */
const target = {
    servedInCut: 0.9,
    mostAtEngine: 1.25,
    firstTokenRatio: 1.2,
    heavyAfter: 0.5,
    jainIndex: 0.98,
};

interface Phase {
    readonly figures: Figures;
    readonly seconds: number;
    tokensInCut: number;
    mostAtEngine: number;
}

const isHeavy = (caller: Caller): boolean => caller.subscriber === heavy.subscriber;

function scheduleCut(world: World): void {
    world.loop.at(cutFrom, () => {
        world.cutDomain = cut;
    });
    world.loop.at(cutUntil, () => {
        world.cutDomain = undefined;
    });
    for (const time of [cutFrom, cutUntil]) {
        world.loop.at(time + membershipMilliseconds, () => {
            for (const [index, entry] of world.entries.entries()) {
                entry.router.applyEntries(world.reachableFrom(`entry-${index}`));
            }
        });
    }
}

function runPhase(world: World, from: number, until: number): Phase {
    const phase = {
        figures: Figures.create(from, isHeavy),
        seconds: (until - from) / 1_000,
        tokensInCut: 0,
        mostAtEngine: 0,
    };
    const engines = [...world.engines].filter(([id]) => world.domains.get(id) === cut);
    const tokens = (): number => engines.reduce((sum, [, engine]) => sum + engine.generatedTokens, 0);
    world.figures = phase.figures;
    const tokensBefore = tokens();
    for (let time = from; time <= until; time += 100) {
        world.loop.runUntil(time);
        const fullest = engines.map(([, engine]) => fullnessOf(engine));
        phase.mostAtEngine = Math.max(phase.mostAtEngine, ...fullest);
    }
    phase.tokensInCut = tokens() - tokensBefore;
    return phase;
}

function fullnessOf(engine: FakeEngine): number {
    return (engine.load.running + engine.load.waiting) / engine.shape.slots;
}

function heavyRate(phase: Phase): number {
    return (phase.figures.tokensOf.get(`${heavy.team}/${heavy.subscriber}`) ?? 0) / phase.seconds;
}

function measure(
    policy: Policy,
    seed: number,
    arrivals: readonly Arrival[],
): Record<string, number | string> {
    const shape = { engines: 6, entries: 6, failureDomains: 3 };
    const teams = [createTeam("team")];
    const world = World.create({
        policy,
        seed,
        arrivals,
        teams,
        ...shape,
        isHeavy,
        end,
        mayRetry: (...[, attempt]) => attempt <= 3,
        prepare: scheduleCut,
    });
    world.loop.runUntil(before);
    const normal = runPhase(world, before, cutFrom);
    const during = runPhase(world, cutFrom, cutUntil);
    const after = runPhase(world, cutUntil, healed);
    const late = runPhase(world, healed, end);
    const firstToken = normal.figures.firstToken.percentile(95);
    const phases = [normal, during, after, late];
    const served = Figures.create(0, isHeavy);
    for (const caller of equalSubscribers("team", others, 1).map(rate => rate.caller)) {
        const name = `${caller.team}/${caller.subscriber}`;
        served.addTokens(
            caller,
            phases.reduce((sum, phase) => sum + (phase.figures.tokensOf.get(name) ?? 0), 0),
        );
    }
    return {
        policy: policy.name,
        servedInCut: round(during.tokensInCut / during.seconds / (normal.tokensInCut / normal.seconds)),
        mostAtEngine: round(Math.max(during.mostAtEngine, after.mostAtEngine)),
        mostAtEngineBefore: round(normal.mostAtEngine),
        firstTokenP95Before: round(firstToken, 1),
        firstTokenP95During: round(during.figures.firstToken.percentile(95), 1),
        firstTokenP95After: round(after.figures.firstToken.percentile(95), 1),
        firstTokenRatio: round(during.figures.firstToken.percentile(95) / firstToken),
        heavyDuring: round(heavyRate(during) / heavyRate(normal)),
        heavyAfter: round(heavyRate(after) / heavyRate(normal)),
        jainIndex: round(served.jainIndex(equalSubscribers("team", others, 1).map(rate => rate.caller)), 4),
        refusalP95During: round(during.figures.refusal.percentile(95), 1),
    };
}

export const domainCut: Experiment = seed => {
    const rate = (load * measureCapacity(seed, 6)) / (others + heavyFactor);
    const rates = [
        ...equalSubscribers("team", others, rate),
        { caller: heavy, requestsPerSecond: rate * heavyFactor },
    ];
    const arrivals = createArrivals(rates, end, seed, () => 1);
    const measured = measure(fairPolicy, seed, arrivals) as Record<string, number>;
    const baselines = [leastInFlightPolicy, localPolicy];
    return {
        experiment: "domain-cut",
        seed,
        target,
        measured,
        baseline: Object.fromEntries(baselines.map(policy => [policy.name, measure(policy, seed, arrivals)])),
        holds:
            measured["servedInCut"]! >= target.servedInCut &&
            measured["mostAtEngine"]! <= target.mostAtEngine &&
            measured["firstTokenRatio"]! <= target.firstTokenRatio &&
            measured["heavyAfter"]! >= target.heavyAfter &&
            measured["jainIndex"]! >= target.jainIndex,
    };
};
