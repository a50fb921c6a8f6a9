/** Runs placement experiments: a fleet, a schedule of losses, and the two measures of both users over time. */
import type { EndpointHealth } from "../src/core/endpoints.js";
import type { PlacementPolicy, PlacementWeights } from "../src/core/placement-policies.js";
import { placementPolicySchema } from "../src/core/placement-policies.js";
import { createRandomNumber, exponential, wholeNumberBetween } from "../src/core/random-numbers.js";
import type { DecideRepair } from "../src/core/repairs.js";
import { priceRepair, rebuildAtOnce, waitForRestart } from "../src/core/repairs.js";
import { checkServingGate } from "../src/core/serving-gates.js";
import { World } from "./placement-worlds.js";

/** Size of a fleet. */
export interface Fleet {
    readonly name: string;
    readonly replicas: number;
    readonly fabricDomains: number;
    readonly instancesPerFabricDomain: number;
}

/** About the users' fleets of today: 50 replicas of 8 instances, and a few spares. */
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

/** What both users weigh. Source: examples/anadolu and examples/kelani. */
export const usersWeights: Readonly<Record<string, PlacementWeights>> = {
    anadolu: { groupDowntime: 10, strandedAccelerators: 0.1 },
    kelani: { groupDowntime: 1, strandedAccelerators: 1 },
};

/** The compared repair policies; the first is the product's. */
export const repairPolicies: Readonly<Record<string, DecideRepair>> = {
    priced: priceRepair,
    waitOnly: waitForRestart,
    alwaysRebuild: rebuildAtOnce,
};

/** One run. Times are virtual milliseconds. */
export interface Scenario {
    readonly seed: number;
    readonly fleet: Fleet;
    readonly weights: PlacementWeights;
    readonly decideRepair: DecideRepair;
    readonly placers: number;
    readonly weightStoreLoadsAtOnce: number;
    readonly endAt: number;
    /** Schedules losses; called once the fleet serves. */
    readonly schedule: (world: World) => void;
}

/** What one run measured, from `startAt` on. */
export interface Measures {
    readonly groupDowntimeSeconds: number;
    readonly strandedAcceleratorSeconds: number;
    /** Both measures times their weights. */
    readonly price: number;
    /** Seconds from the first time below the demand until the first group came back, and until all did. */
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
    const world = World.create({
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
    const health = feedHealth(world);
    world.loop.runUntil(startAt);
    const meter = Meter.create(world, health, scenario);
    scenario.schedule(world);
    world.loop.runUntil(scenario.endAt);
    return meter.read();
}

/** Probes every engine and gives the answers to every placer, as the mesh's shared probes do. */
function feedHealth(world: World): ReadonlyMap<string, EndpointHealth> {
    const known = new Map<string, EndpointHealth>();
    const { healthMilliseconds } = world.options.policy;
    const engines = [...world.engines.values()];
    const slices = 20;
    for (let slice = 0; slice < slices; slice += 1) {
        const own = engines.filter((_, index) => index % slices === slice);
        world.loop.after((slice * probeMilliseconds) / slices, () =>
            world.loop.every(probeMilliseconds, () => {
                for (const engine of own.filter(each => each.isResponding())) {
                    const healthyUntil = world.loop.now() + healthMilliseconds;
                    const health = { report: engine.report(), healthyUntil };
                    known.set(engine.instance.id, health);
                    world.placers.forEach(placer => placer.receive({ kind: "health", health }));
                }
            }),
        );
    }
    return known;
}

/** Samples the two measures. */
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
        private readonly world: World,
        private readonly health: ReadonlyMap<string, EndpointHealth>,
        private readonly scenario: Scenario,
    ) {
        this.callsAtStart = world.store.calls;
        this.ordersAtStart = world.ordersSent;
        this.loadsAtStart = world.weights.requestedMilliseconds;
        world.loop.every(sampleMilliseconds, () => this.sample());
    }

    public static create(
        world: World,
        health: ReadonlyMap<string, EndpointHealth>,
        scenario: Scenario,
    ): Meter {
        return new Meter(world, health, scenario);
    }

    public read(): Measures {
        const { weights, endAt } = this.scenario;
        const seconds = (endAt - startAt) / 1_000;
        const calls = this.world.store.calls - this.callsAtStart;
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
                (this.world.weights.requestedMilliseconds - this.loadsAtStart) / coldLoadMilliseconds,
            storeCalls: calls,
            storeCallsPerSecond: Math.round((10 * calls) / seconds) / 10,
            orders: this.world.ordersSent - this.ordersAtStart,
        };
    }

    private sample(): void {
        const now = this.world.loop.now();
        const open = this.openGroups(now);
        const demand = this.scenario.fleet.replicas;
        const inGroups = open.reduce((sum, group) => sum + group.members.length, 0);
        const live = [...this.world.engines.values()].filter(
            engine => engine.isAlive && !engine.leaving,
        ).length;
        const seconds = sampleMilliseconds / 1_000;
        this.downtime += Math.max(0, demand - open.length) * seconds;
        this.stranded += Math.max(0, live - inGroups) * seconds;
        this.noteRecovery(open.length, demand, now);
    }

    private noteRecovery(open: number, demand: number, now: number): void {
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
        return [...this.world.placements.values()]
            .flatMap(placement => placement.groups)
            .filter(group => checkServingGate(group, view, now).open);
    }
}

/** Schedules random losses: pauses, restarts after a while, and instances that never come back. */
export function scheduleLosses(world: World, seed: number, meanMilliseconds: number, endAt: number): void {
    const random = createRandomNumber(seed);
    const engines = [...world.engines.values()];
    const { repair } = world.options.policy;
    for (let at = startAt; at < endAt; at += exponential(meanMilliseconds, random)) {
        const engine = engines[wholeNumberBetween(0, engines.length - 1, random)]!;
        const isPause = random() < repair.pauseChance;
        const returns = random() < repair.restartChance;
        const length = exponential(isPause ? repair.pauseMilliseconds : repair.restartMilliseconds, random);
        world.loop.at(at, () => {
            if (!engine.isResponding()) {
                return;
            }
            if (isPause) {
                engine.pause(length);
                return;
            }
            engine.die();
            if (returns) {
                world.loop.after(length, () => engine.restart());
            }
        });
    }
}

/** Runs every repair policy for both users' weights. */
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
