/** A fabric domain fails and recovers without weights: groups loaded one after another or all at once. */
import type { Experiment } from "./experiment.js";
import type { Fleet, Measures } from "./placement-experiments.js";
import {
    largeFleet,
    repairPolicies,
    runScenario,
    startAt,
    todayFleet,
    usersWeights,
} from "./placement-experiments.js";
import type { PlacementSimulation } from "./placement-simulation.js";

const darkMilliseconds = 60_000;
const endAt = startAt + 900_000;
const largeEnd = startAt + 420_000;
/** Equals the number of loads that the weight store serves at full rate. */
const turnLoads = 16;
const unlimitedLoads = 100_000;
/** Time until the first group recovers, as a fraction of that time when all groups load at once. */
const firstTarget = 0.5;
/** Allowed delay factor of the last group: rounds of limited loads do not always fill. */
const lastTarget = 1.25;

/** Compares limited concurrent loads with loading every group at once. */
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

function goDark(simulation: PlacementSimulation): void {
    const dark = [...simulation.engines.values()].filter(
        engine => engine.instance.fabricDomain === "fabric-0",
    );
    dark.forEach(engine => engine.die());
    simulation.loop.after(darkMilliseconds, () => dark.forEach(engine => engine.restart()));
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
