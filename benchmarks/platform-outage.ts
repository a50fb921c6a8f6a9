/** The key-value service is down for long while instances are lost: serving groups go on, and repairs follow afterwards. */
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

const outageMilliseconds = 300_000;
const endAt = startAt + 600_000;
const lostInstances = 3;
/**
 * From the end of the outage: a lost call's deadline, the longest wait of the second placer for the lease, reading back,
 * one cold load, and the settle time.
 */
const recoverySeconds = 2 + 20 + 2 + 60 + 6;

/** Compares a run through an outage with one without. */
export const platformOutage: Experiment = seed => {
    const fleets = [todayFleet, largeFleet];
    const measured = fleets.map(fleet => run(seed, fleet, "priced", outageMilliseconds));
    const isKept = (measures: Measures, fleet: Fleet): boolean => {
        const back = measures.lastGroupBackSeconds ?? Number.POSITIVE_INFINITY;
        const outageSeconds = outageMilliseconds / 1_000;
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
        schedule: world => schedule(world, outage),
    });
}

/** During the outage one member each of three groups in different fabric domains dies and restarts. */
function schedule(world: World, outage: number): void {
    world.store.downUntil = startAt + outage;
    for (let index = 0; index < lostInstances; index += 1) {
        const engine = world.engines.get(`engine-${index}-3`);
        world.loop.at(startAt + 30_000 + index * 40_000, () => engine?.die());
        world.loop.at(startAt + 90_000 + index * 40_000, () => engine?.restart());
    }
}
