/** Runs placement experiments: a fleet, a schedule of losses, and both users' two measures over time. */
import type { EndpointHealth } from "../src/core/endpoints.js";
import type { PlacementPolicy, PlacementWeights } from "../src/core/placement-policy.js";
import { placementPolicySchema } from "../src/core/placement-policy.js";
import { createRandomGenerator, randomExponential, randomInteger } from "../src/core/random-numbers.js";
import type { DecideRepair } from "../src/core/repair-decision.js";
import { chooseCheapestRepair, rebuildImmediately, waitForRestart } from "../src/core/repair-decision.js";
import { checkServingGate } from "../src/core/serving-gate.js";
import { PlacementSimulation } from "./placement-simulation.js";

/** Size of a fleet. */
export interface Fleet {
    readonly name: string;
    readonly replicas: number;
    readonly fabricDomains: number;
    readonly instancesPerFabricDomain: number;
}

/** Approximates the users' present fleets: 50 replicas of 8 instances, and a few spares. */
export const todayFleet: Fleet = {
    name: "50 replicas",
    replicas: 50,
    fabricDomains: 5,
    instancesPerFabricDomain: 84,
};

/** 600 replicas on 4,800 accelerators, without a spare. */
export const largeFleet: Fleet = {
    name: "600 replicas",
    replicas: 600,
    fabricDomains: 75,
    instancesPerFabricDomain: 64,
};

/** Placement weights of both users. Source: examples/anadolu and examples/kelani. */
export const usersWeights: Readonly<Record<string, PlacementWeights>> = {
    anadolu: { groupDowntime: 10, strandedAccelerators: 0.1 },
    kelani: { groupDowntime: 1, strandedAccelerators: 1 },
};

/** The compared repair policies; the first is the product's. */
export const repairPolicies: Readonly<Record<string, DecideRepair>> = {
    priced: chooseCheapestRepair,
    waitOnly: waitForRestart,
    alwaysRebuild: rebuildImmediately,
};

/** Options of one run; times are virtual milliseconds. */
export interface Scenario {
    readonly seed: number;
    readonly fleet: Fleet;
    readonly weights: PlacementWeights;
    readonly decideRepair: DecideRepair;
    readonly placers: number;
    readonly weightStoreLoadsAtOnce: number;
    readonly endAt: number;
    /** Schedules losses; called once the fleet serves. */
    readonly schedule: (simulation: PlacementSimulation) => void;
}

/** Measurements of one run from `startAt` on. */
export interface Measures {
    readonly groupDowntimeSeconds: number;
    readonly strandedAcceleratorSeconds: number;
    /** Sum of both measures multiplied by their weights. */
    readonly price: number;
    /** Seconds from the first time below the demand until the first group recovered, and until all groups did. */
    readonly firstGroupBackSeconds: number | undefined;
    readonly lastGroupBackSeconds: number | undefined;
    readonly fewestOpenGroups: number;
    readonly weightStoreLoads: number;
    readonly storeCalls: number;
    readonly storeCallsPerSecond: number;
    readonly orders: number;
}

/** The fleet has started and serves before this time. */
export const startAt = 60_000;
export const coldLoadMilliseconds = 60_000;

const model = { model: "draft", version: "1" };
const size = 8;
const sampleMilliseconds = 500;
const probeMilliseconds = 1_000;

/** The placement policy of a scenario. */
export function createPolicy(scenario: Scenario): PlacementPolicy {
    return placementPolicySchema.parse({
        models: [{ ...model, instancesPerReplica: size, floor: 1, demand: scenario.fleet.replicas }],
        weights: scenario.weights,
        weightStoreLoadsAtOnce: scenario.weightStoreLoadsAtOnce,
        repair: {
            pauseChance: 0.4,
            pauseMilliseconds: 8_000,
            restartMilliseconds: 60_000,
            coldLoadMilliseconds,
        },
    });
}

/** Runs a scenario to its end. */
export function runScenario(scenario: Scenario): Measures {
    const simulation = PlacementSimulation.create({
        seed: scenario.seed,
        fabricDomains: scenario.fleet.fabricDomains,
        instancesPerFabricDomain: scenario.fleet.instancesPerFabricDomain,
        placers: scenario.placers,
        entries: 0,
        policy: createPolicy(scenario),
        decideRepair: scenario.decideRepair,
        mutant: "none",
        coldLoadMilliseconds,
        warmLoadMilliseconds: 2_000,
        loadsAtFullRate: 16,
        probeMilliseconds,
        listLagMilliseconds: 5_000,
        placersProbe: false,
        startWarm: model,
        heldUpChance: 0,
    });
    const health = feedHealth(simulation);
    simulation.loop.runUntil(startAt);
    const meter = Meter.create(simulation, health, scenario);
    scenario.schedule(simulation);
    simulation.loop.runUntil(scenario.endAt);
    return meter.read();
}

/** Probes every engine and passes the results to every placer, as the mesh's shared probes do. */
function feedHealth(simulation: PlacementSimulation): ReadonlyMap<string, EndpointHealth> {
    const known = new Map<string, EndpointHealth>();
    const { healthMilliseconds } = simulation.options.policy;
    const engines = [...simulation.engines.values()];
    const slices = 20;
    for (let slice = 0; slice < slices; slice += 1) {
        const own = engines.filter((_, index) => index % slices === slice);
        simulation.loop.after((slice * probeMilliseconds) / slices, () =>
            simulation.loop.every(probeMilliseconds, () => {
                for (const engine of own.filter(each => each.isResponding())) {
                    const healthyUntil = simulation.loop.now() + healthMilliseconds;
                    const health = { report: engine.report(), healthyUntil };
                    known.set(engine.instance.id, health);
                    simulation.placers.forEach(placer => placer.receive({ kind: "health", health }));
                }
            }),
        );
    }
    return known;
}

/** Samples both measures over time. */
class Meter {
    private downtime = 0;
    private stranded = 0;
    private belowAt: number | undefined;
    private fewest = Number.POSITIVE_INFINITY;
    private firstBackAt: number | undefined;
    private lastBackAt: number | undefined;
    private readonly callsAtStart: number;
    private readonly ordersAtStart: number;
    private readonly loadsAtStart: number;

    private constructor(
        private readonly simulation: PlacementSimulation,
        private readonly health: ReadonlyMap<string, EndpointHealth>,
        private readonly scenario: Scenario,
    ) {
        this.callsAtStart = simulation.store.calls;
        this.ordersAtStart = simulation.ordersSent;
        this.loadsAtStart = simulation.weights.requestedMilliseconds;
        simulation.loop.every(sampleMilliseconds, () => this.sample());
    }

    public static create(
        simulation: PlacementSimulation,
        health: ReadonlyMap<string, EndpointHealth>,
        scenario: Scenario,
    ): Meter {
        return new Meter(simulation, health, scenario);
    }

    public read(): Measures {
        const { weights, endAt } = this.scenario;
        const seconds = (endAt - startAt) / 1_000;
        const calls = this.simulation.store.calls - this.callsAtStart;
        const since = (at: number | undefined): number | undefined =>
            at === undefined || this.belowAt === undefined ? undefined : (at - this.belowAt) / 1_000;
        const price = this.downtime * weights.groupDowntime + this.stranded * weights.strandedAccelerators;
        return {
            groupDowntimeSeconds: Math.round(this.downtime),
            strandedAcceleratorSeconds: Math.round(this.stranded),
            price: Math.round(price),
            firstGroupBackSeconds: since(this.firstBackAt),
            lastGroupBackSeconds: since(this.lastBackAt),
            fewestOpenGroups: this.fewest,
            weightStoreLoads:
                (this.simulation.weights.requestedMilliseconds - this.loadsAtStart) / coldLoadMilliseconds,
            storeCalls: calls,
            storeCallsPerSecond: Math.round((10 * calls) / seconds) / 10,
            orders: this.simulation.ordersSent - this.ordersAtStart,
        };
    }

    private sample(): void {
        const now = this.simulation.loop.now();
        const open = this.openGroups(now);
        const demand = this.scenario.fleet.replicas;
        const inGroups = open.reduce((sum, group) => sum + group.members.length, 0);
        const live = [...this.simulation.engines.values()].filter(
            engine => engine.isAlive && !engine.leaving,
        ).length;
        const seconds = sampleMilliseconds / 1_000;
        this.downtime += Math.max(0, demand - open.length) * seconds;
        this.stranded += Math.max(0, live - inGroups) * seconds;
        this.recordRecovery(open.length, demand, now);
    }

    private recordRecovery(open: number, demand: number, now: number): void {
        if (open < demand) {
            this.belowAt ??= now;
            this.lastBackAt = undefined;
        } else if (this.belowAt !== undefined) {
            this.lastBackAt ??= now;
        }
        if (open < this.fewest) {
            this.fewest = open;
            this.firstBackAt = undefined;
        } else if (open > this.fewest && this.belowAt !== undefined) {
            this.firstBackAt ??= now;
        }
    }

    private openGroups(now: number): readonly { readonly members: readonly string[] }[] {
        const view = { healthOf: (instance: string) => this.health.get(instance), isLeaving: () => false };
        return [...this.simulation.placements.values()]
            .flatMap(placement => placement.groups)
            .filter(group => checkServingGate(group, view, now).open);
    }
}

/** Schedules random losses: pauses, restarts after a delay, and permanent losses of instances. */
export function scheduleLosses(
    simulation: PlacementSimulation,
    seed: number,
    meanMilliseconds: number,
    endAt: number,
): void {
    const random = createRandomGenerator(seed);
    const engines = [...simulation.engines.values()];
    const { repair } = simulation.options.policy;
    for (let at = startAt; at < endAt; at += randomExponential(meanMilliseconds, random)) {
        const engine = engines[randomInteger(0, engines.length - 1, random)]!;
        const isPause = random() < repair.pauseChance;
        const returns = random() < repair.restartChance;
        const length = randomExponential(
            isPause ? repair.pauseMilliseconds : repair.restartMilliseconds,
            random,
        );
        simulation.loop.at(at, () => {
            if (!engine.isResponding()) {
                return;
            }
            if (isPause) {
                engine.pause(length);
                return;
            }
            engine.die();
            if (returns) {
                simulation.loop.after(length, () => engine.restart());
            }
        });
    }
}

/** Runs every repair policy with both users' weights. */
export function comparePolicies(
    run: (decideRepair: DecideRepair, weights: PlacementWeights) => Measures,
): Readonly<Record<string, Readonly<Record<string, Measures>>>> {
    const results: Record<string, Record<string, Measures>> = {};
    for (const [user, weights] of Object.entries(usersWeights)) {
        const ofUser: Record<string, Measures> = {};
        for (const [name, decideRepair] of Object.entries(repairPolicies)) {
            ofUser[name] = run(decideRepair, weights);
        }
        results[user] = ofUser;
    }
    return results;
}
