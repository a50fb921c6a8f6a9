/** A whole fabric domain goes dark and comes back without weights: groups one after another against all at once. */
import type { Experiment } from "./experiments.js";
import type { Fleet, Measures } from "./placement-experiments.js";
import {
    largeFleet,
    repairPolicies,
    runScenario,
    startAt,
    todayFleet,
    usersWeights,
} from "./placement-experiments.js";
import type { World } from "./placement-worlds.js";

const darkMilliseconds = 60_000;
const endAt = startAt + 900_000;
const largeEnd = startAt + 420_000;
/** As many as the weight store serves at full rate. */
const turnLoads = 16;
const unlimitedLoads = 100_000;
/** The first group must be back in this part of the time that loading all at once takes for its first. */
const firstTarget = 0.5;
/** Turns may delay the last group by this much, for the rounds do not fill exactly. */
const lastTarget = 1.25;

/** Compares turns at the weight store with loading every group at once. */
export const domainDark: Experiment = seed => {
    const compared = [
        { fleet: todayFleet, end: endAt },
        { fleet: largeFleet, end: largeEnd },
    ].map(({ fleet, end }) => ({
        fleet,
        policies: Object.fromEntries(
            Object.keys(repairPolicies).map(name => [name, run(seed, fleet, name, turnLoads, end)]),
        ),
        allAtOnce: run(seed, fleet, "priced", unlimitedLoads, end),
    }));
    return {
        experiment: "domain-dark",
        seed,
        target: {
            firstGroupBackAgainstAllAtOnce: firstTarget,
            lastGroupBackAgainstAllAtOnce: lastTarget,
            groupDowntime: "less than all at once",
        },
        measured: Object.fromEntries(compared.map(each => [each.fleet.name, each.policies.priced])),
        baseline: Object.fromEntries(
            compared.map(({ fleet, policies, allAtOnce }) => [
                fleet.name,
                { allAtOnce, waitOnly: policies.waitOnly, alwaysRebuild: policies.alwaysRebuild },
            ]),
        ),
        holds: compared.every(({ policies, allAtOnce }) => isBetter(policies.priced!, allAtOnce)),
    };
};

function run(seed: number, fleet: Fleet, policy: string, loadsAtOnce: number, end: number): Measures {
    return runScenario({
        seed,
        fleet,
        weights: usersWeights.anadolu!,
        decideRepair: repairPolicies[policy]!,
        placers: 2,
        weightStoreLoadsAtOnce: loadsAtOnce,
        endAt: end,
        schedule: goDark,
    });
}

function goDark(world: World): void {
    const dark = [...world.engines.values()].filter(engine => engine.instance.fabricDomain === "fabric-0");
    dark.forEach(engine => engine.die());
    world.loop.after(darkMilliseconds, () => dark.forEach(engine => engine.restart()));
}

function isBetter(turns: Measures, allAtOnce: Measures): boolean {
    const never = Number.POSITIVE_INFINITY;
    const darkSeconds = darkMilliseconds / 1_000;
    const first = (turns.firstGroupBackSeconds ?? never) - darkSeconds;
    const firstAllAtOnce = (allAtOnce.firstGroupBackSeconds ?? never) - darkSeconds;
    const last = (turns.lastGroupBackSeconds ?? never) - darkSeconds;
    const lastAllAtOnce = (allAtOnce.lastGroupBackSeconds ?? never) - darkSeconds;
    const isFirstEarly = first <= firstTarget * firstAllAtOnce;
    const isLastInTime = Number.isFinite(last) && last <= lastTarget * lastAllAtOnce;
    return isFirstEarly && isLastInTime && turns.groupDowntimeSeconds < allAtOnce.groupDowntimeSeconds;
}
