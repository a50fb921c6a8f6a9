/** Random losses of instances: cost of each repair policy by both users' weights, and growth of store calls. */
import type { Experiment } from "./experiment.js";
import type { Fleet, Measures } from "./placement-experiments.js";
import {
    comparePolicies,
    largeFleet,
    repairPolicies,
    runScenario,
    scheduleLosses,
    startAt,
    todayFleet,
    usersWeights,
} from "./placement-experiments.js";

const todayEnd = startAt + 1_800_000;
const largeEnd = startAt + 300_000;
/** Mean time between losses of one instance; far shorter than in production, so that a short run has many. */
const instanceLossMilliseconds = 12_000_000;

type Compared = Readonly<Record<string, Readonly<Record<string, Measures>>>>;

/** Compares the cost-based repair with only waiting and with immediate rebuilding. */
export const groupLoss: Experiment = seed => {
    const today = compareFleet(seed, todayFleet, todayEnd);
    const large = compareFleet(seed, largeFleet, largeEnd);
    const isCheapest = (compared: Compared): boolean =>
        Object.values(compared).every(
            ofUser => ofUser.priced!.price <= Math.min(ofUser.waitOnly!.price, ofUser.alwaysRebuild!.price),
        );
    return {
        experiment: "group-loss",
        seed,
        target: {
            price: "priced is at most the cheaper of waitOnly and alwaysRebuild, for both users and fleets",
        },
        measured: {
            [todayFleet.name]: only(today, "priced"),
            [largeFleet.name]: only(large, "priced"),
            storeCallsPerSecond: measureSlopes(seed),
        },
        baseline: {
            [todayFleet.name]: without(today, "priced"),
            [largeFleet.name]: without(large, "priced"),
        },
        holds: isCheapest(today) && isCheapest(large),
    };
};

function compareFleet(seed: number, fleet: Fleet, endAt: number): Compared {
    const instances = fleet.fabricDomains * fleet.instancesPerFabricDomain;
    return comparePolicies((decideRepair, weights) =>
        runScenario({
            seed,
            fleet,
            weights,
            decideRepair,
            placers: 2,
            weightStoreLoadsAtOnce: 8,
            endAt,
            schedule: simulation =>
                scheduleLosses(simulation, seed, instanceLossMilliseconds / instances, endAt),
        }),
    );
}

/** Counts calls of the key-value service in runs without losses, by the number of placers and of fabric domains. */
function measureSlopes(seed: number): Readonly<Record<string, number>> {
    const measure = (placers: number, fabricDomains: number): number => {
        const fleet = { name: "", replicas: 7 * fabricDomains, fabricDomains, instancesPerFabricDomain: 60 };
        const measures = runScenario({
            seed,
            fleet,
            weights: usersWeights.anadolu!,
            decideRepair: repairPolicies.priced!,
            placers,
            weightStoreLoadsAtOnce: 8,
            endAt: startAt + 180_000,
            schedule: () => undefined,
        });
        return measures.storeCallsPerSecond;
    };
    return {
        "2 placers, 3 fabric domains": measure(2, 3),
        "8 placers, 3 fabric domains": measure(8, 3),
        "32 placers, 3 fabric domains": measure(32, 3),
        "2 placers, 6 fabric domains": measure(2, 6),
        "2 placers, 12 fabric domains": measure(2, 12),
    };
}

function only(compared: Compared, policy: string): Record<string, unknown> {
    return Object.fromEntries(Object.entries(compared).map(([user, ofUser]) => [user, ofUser[policy]]));
}

function without(compared: Compared, policy: string): Record<string, unknown> {
    return Object.fromEntries(
        Object.entries(compared).map(([user, ofUser]) => [
            user,
            Object.fromEntries(Object.entries(ofUser).filter(([name]) => name !== policy)),
        ]),
    );
}
