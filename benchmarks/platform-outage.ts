/** Long outage of the key-value service while instances are lost: groups keep serving, and repairs follow later. */
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

const outageMilliseconds = 300_000;
const endAt = startAt + 600_000;
const lostInstances = 3;
const firstLossMilliseconds = 30_000;
/**
 * Maximum time from the end of the outage to the recovery: a lost call's deadline, the second placer's wait for the
 * lease, the read of the stored placement, one cold load, and the settle time.
 */
const recoverySeconds = 2 + 20 + 2 + 60 + 6;

/** Compares a run through an outage with one without. */
export const platformOutage: Experiment = seed => {
    const fleets = [todayFleet, largeFleet];
    const measured = fleets.map(fleet => run(seed, fleet, "priced", outageMilliseconds));
    const isKept = (measures: Measures, fleet: Fleet): boolean => {
        const back = measures.lastGroupBackSeconds ?? Number.POSITIVE_INFINITY;
        const outageSeconds = (outageMilliseconds - firstLossMilliseconds) / 1_000;
        return (
            measures.fewestOpenGroups >= fleet.replicas - lostInstances &&
            back <= outageSeconds + recoverySeconds
        );
    };
    const baselines = fleets.map(fleet => ({
        withoutOutage: run(seed, fleet, "priced", 0),
        waitOnly: run(seed, fleet, "waitOnly", outageMilliseconds),
        alwaysRebuild: run(seed, fleet, "alwaysRebuild", outageMilliseconds),
    }));
    return {
        experiment: "platform-outage",
        seed,
        target: {
            fewestOpenGroups: `all but the ${lostInstances} that lost a member`,
            lastGroupBackSecondsAfterOutage: recoverySeconds,
        },
        measured: Object.fromEntries(fleets.map((fleet, index) => [fleet.name, measured[index]])),
        baseline: Object.fromEntries(fleets.map((fleet, index) => [fleet.name, baselines[index]])),
        holds: fleets.every((fleet, index) => isKept(measured[index]!, fleet)),
    };
};

function run(seed: number, fleet: Fleet, policy: string, outage: number): Measures {
    return runScenario({
        seed,
        fleet,
        weights: usersWeights.anadolu!,
        decideRepair: repairPolicies[policy]!,
        placers: 2,
        weightStoreLoadsAtOnce: 16,
        endAt,
        schedule: simulation => schedule(simulation, outage),
    });
}

/** During the outage one member each of three groups in different fabric domains dies and restarts. */
function schedule(simulation: PlacementSimulation, outage: number): void {
    simulation.store.downUntil = startAt + outage;
    for (let index = 0; index < lostInstances; index += 1) {
        const engine = simulation.engines.get(`engine-${index}-3`);
        simulation.loop.at(startAt + firstLossMilliseconds + index * 40_000, () => engine?.die());
        simulation.loop.at(startAt + 90_000 + index * 40_000, () => engine?.restart());
    }
}
