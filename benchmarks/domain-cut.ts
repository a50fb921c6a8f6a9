/** Partition of one failure domain of three for a minute, with a heavy subscriber at all entries. */
import type { Caller } from "../src/core/requests.js";
import type { Experiment } from "./experiment.js";
import type { Arrival } from "./fakes/arrivals.js";
import { createArrivals, equalSubscribers } from "./fakes/arrivals.js";
import { measureCapacity } from "./fakes/capacity.js";
import type { FakeEngine } from "./fakes/fake-engine.js";
import { Figures, round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";
import type { Policy } from "./fakes/routing-simulation.js";
import {
    RoutingSimulation,
    fairPolicy,
    leastInFlightPolicy,
    localPolicy,
} from "./fakes/routing-simulation.js";

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
/** Time until membership detects the start or the end of the partition. */
const membershipMilliseconds = 5_000;

/**
 * Tokens of the cut domain's engines relative to before; the maximum of requests at one of them relative to its slots;
 * p95 first token of the others relative to before; the heavy subscriber's tokens within 10 s of the end of the cut
 * relative to before (old usage counters that arrive all at once would block it); and Jain's index of the others over
 * the whole run.
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

function scheduleCut(simulation: RoutingSimulation): void {
    simulation.loop.at(cutFrom, () => {
        simulation.cutDomain = cut;
    });
    simulation.loop.at(cutUntil, () => {
        simulation.cutDomain = undefined;
    });
    for (const time of [cutFrom, cutUntil]) {
        simulation.loop.at(time + membershipMilliseconds, () => {
            for (const [index, entry] of simulation.entries.entries()) {
                entry.router.applyEntries(simulation.reachableFrom(`entry-${index}`));
            }
        });
    }
}

function runPhase(simulation: RoutingSimulation, from: number, until: number): Phase {
    const phase = {
        figures: Figures.create(from, isHeavy),
        seconds: (until - from) / 1_000,
        tokensInCut: 0,
        mostAtEngine: 0,
    };
    const engines = [...simulation.engines].filter(([id]) => simulation.domains.get(id) === cut);
    const tokens = (): number => engines.reduce((sum, [, engine]) => sum + engine.generatedTokens, 0);
    simulation.figures = phase.figures;
    const tokensBefore = tokens();
    for (let time = from; time <= until; time += 100) {
        simulation.loop.runUntil(time);
        const occupancies = engines.map(([, engine]) => occupancyOf(engine));
        phase.mostAtEngine = Math.max(phase.mostAtEngine, ...occupancies);
    }
    phase.tokensInCut = tokens() - tokensBefore;
    return phase;
}

function occupancyOf(engine: FakeEngine): number {
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
    const simulation = RoutingSimulation.create({
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
    simulation.loop.runUntil(before);
    const normal = runPhase(simulation, before, cutFrom);
    const during = runPhase(simulation, cutFrom, cutUntil);
    const after = runPhase(simulation, cutUntil, healed);
    const late = runPhase(simulation, healed, end);
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
