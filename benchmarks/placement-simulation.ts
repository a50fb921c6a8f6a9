/** Simulates placers, entries, engines and the store of one failure domain, for experiments and histories. */
import type { EngineOrder, OrderResponse } from "../src/contracts/engines.js";
import type { EndpointHealth, EndpointReport } from "../src/core/endpoints.js";
import { fail, succeed } from "../src/core/errors.js";
import type { Fault, Result } from "../src/core/errors.js";
import type { EventBody } from "../src/core/events.js";
import type { Instance } from "../src/core/instances.js";
import type { PlacementPolicy } from "../src/core/placement-policy.js";
import type { FabricPlacement } from "../src/core/fabric-placement.js";
import { placementPrefix, safeParseFabricPlacement } from "../src/core/fabric-placement.js";
import { createRandomGenerator } from "../src/core/random-numbers.js";
import type { ModelVersion } from "../src/core/replica-groups.js";
import type { DecideRepair } from "../src/core/repair-decision.js";
import { VirtualLoop } from "./virtual-loop.js";
import type { AcceptedWork } from "./placement-engines.js";
import { FakeEngine, FakeWeightStore } from "./placement-engines.js";
import { FakeEntry } from "./placement-entry.js";
import { FakePlacer } from "./placement-placer.js";
import { FakeStore } from "./placement-store.js";

/** A deliberate fault in the system under test, which a checker must find. */
export type Mutant =
    | "none"
    | "gateSkipped"
    | "leaseUnchecked"
    | "oldEpochAccepted"
    | "takeoverWaitSkipped"
    | "movedWithoutRelease"
    | "settleSkipped";

/** Size and behaviour of a simulation. */
export interface PlacementSimulationOptions {
    readonly seed: number;
    readonly fabricDomains: number;
    readonly instancesPerFabricDomain: number;
    readonly placers: number;
    readonly entries: number;
    readonly policy: PlacementPolicy;
    readonly decideRepair: DecideRepair;
    readonly mutant: Mutant;
    readonly coldLoadMilliseconds: number;
    readonly warmLoadMilliseconds: number;
    /** Loads that the whole weight store serves at full rate. */
    readonly loadsAtFullRate: number;
    readonly probeMilliseconds: number;
    /** Maximum time until the instance list shows a change. */
    readonly listLagMilliseconds: number;
    /** True if each placer probes for itself; otherwise the caller of the simulation supplies health. */
    readonly placersProbe: boolean;
    /** A model version whose weights every engine holds at the start. */
    readonly startWarm?: ModelVersion;
    /** Probability that an order is delayed between its lease check and its dispatch. */
    readonly heldUpChance: number;
}

/** One simulation. */
export class PlacementSimulation {
    public readonly loop = VirtualLoop.create();
    public readonly random: () => number;
    public readonly store: FakeStore;
    public readonly weights: FakeWeightStore;
    public readonly engines = new Map<string, FakeEngine>();
    public readonly placers: readonly FakePlacer[];
    public readonly entries: readonly FakeEntry[];
    public readonly accepted: AcceptedWork[] = [];
    public readonly faultyValues: string[] = [];
    public readonly events: { readonly at: number; readonly process: string; readonly body: EventBody }[] =
        [];
    /** The latest value of each fabric domain. */
    public readonly placements = new Map<string, FabricPlacement>();
    /** Pairs "process instance" that cannot reach each other until the given time. */
    public readonly cutUntil = new Map<string, number>();
    public ordersSent = 0;
    /** Probability that an order is delayed between its lease check and its dispatch. */
    public heldUpChance: number;

    private constructor(public readonly options: PlacementSimulationOptions) {
        this.random = createRandomGenerator(options.seed);
        this.heldUpChance = options.heldUpChance;
        this.store = FakeStore.create(this.loop, this.random, (key, value) => this.handleWrite(key, value));
        this.weights = FakeWeightStore.create(this.loop, options.loadsAtFullRate);
        this.createEngines();
        this.placers = count(options.placers).map(index => FakePlacer.create(`placer-${index}`, this));
        this.entries = count(options.entries).map(index => FakeEntry.create(`entry-${index}`, this));
        this.announceInstances();
    }

    public static create(options: PlacementSimulationOptions): PlacementSimulation {
        return new PlacementSimulation(options);
    }

    /** Returns the present instance list, which each process receives with a lag. */
    public listInstances(): readonly Instance[] {
        const engines = [...this.engines.values()].map((engine): Instance => ({
            ...engine.instance,
            state: engine.leaving ? "leaving" : "live",
        }));
        const entries = count(this.options.placers).map(index =>
            createInstance(`placer-${index}`, "", "entry"),
        );
        return [...engines, ...entries];
    }

    /** Sends the instance list to every placer, each with its own lag. */
    public announceInstances(): void {
        const instances = this.listInstances();
        for (const placer of this.placers) {
            const lag = this.random() * this.options.listLagMilliseconds;
            this.loop.after(lag, () => placer.receive({ kind: "instances", instances }));
        }
    }

    public isCut(process: string, instance: string): boolean {
        const now = this.loop.now();
        const until = (key: string): number => this.cutUntil.get(key) ?? 0;
        return now < until(`${process} ${instance}`) || now < until(`${process} *`);
    }

    /** Probes one engine on behalf of a process; `respond` is not called if the engine does not respond. */
    public probe(
        process: string,
        instance: string,
        respond: (report: EndpointReport, sentAt: number) => void,
    ): void {
        const sentAt = this.loop.now();
        if (this.isCut(process, instance)) {
            return;
        }
        this.loop.after(0.5 + this.random(), () => {
            const engine = this.engines.get(instance);
            if (engine?.isResponding() === true) {
                const report = engine.report();
                this.loop.after(0.5 + this.random(), () => respond(report, sentAt));
            }
        });
    }

    /** Returns the health of an engine as a probe of a process finds it. */
    public probeHealth(process: string, instance: string, observe: (health: EndpointHealth) => void): void {
        const { healthMilliseconds } = this.options.policy;
        this.probe(process, instance, (report, sentAt) =>
            observe({ report, healthyUntil: sentAt + healthMilliseconds }),
        );
    }

    /**
     * Sends an order to an engine. The sender's lease was checked at the time of the call; the sender may be delayed
     * afterwards, and a paused engine reads the order when it resumes.
     */
    public sendOrder(
        process: string,
        order: EngineOrder,
        instance: string,
        respond: (result: Result<OrderResponse>) => void,
    ): void {
        this.ordersSent += 1;
        const { policy } = this.options;
        const isDelayed = this.random() < this.heldUpChance;
        const maximumDelay = policy.enginesCheckFencing ? 30_000 : policy.allowedPauseMilliseconds;
        const delay = isDelayed ? this.random() * maximumDelay : 0;
        const checkedAt = this.loop.now();
        const limit = checkedAt + delay + policy.orderMilliseconds;
        const timeOut = (): void => this.loop.at(limit, () => respond(fail(orderFault)));
        if (this.isCut(process, instance)) {
            timeOut();
            return;
        }
        this.loop.after(delay + 0.5 + this.random(), () =>
            this.deliver(process, order, instance, limit, respond),
        );
    }

    private deliver(
        process: string,
        order: EngineOrder,
        instance: string,
        limit: number,
        respond: (result: Result<OrderResponse>) => void,
    ): void {
        const engine = this.engines.get(instance);
        const now = this.loop.now();
        const isClosed = now >= limit && !this.options.policy.enginesCheckFencing;
        if (engine === undefined || !engine.isAlive || isClosed) {
            this.loop.at(limit, () => respond(fail(orderFault)));
            return;
        }
        if (now < engine.pausedUntil) {
            this.loop.at(engine.pausedUntil, () => this.deliver(process, order, instance, limit, respond));
            return;
        }
        const result = engine.order(order, process);
        const isLost = this.random() < this.store.faults.answerLost;
        this.loop.after(0.5, () => {
            respond(isLost || this.loop.now() >= limit ? fail(orderFault) : succeed(result));
        });
    }

    private createEngines(): void {
        const { options } = this;
        for (const domain of count(options.fabricDomains)) {
            for (const index of count(options.instancesPerFabricDomain)) {
                const instance = createInstance(`engine-${domain}-${index}`, `fabric-${domain}`, "engine");
                const engine = FakeEngine.create(instance, this.loop, this.weights, {
                    checksEpochs: options.policy.enginesCheckFencing && options.mutant !== "oldEpochAccepted",
                    movesWithoutRelease: options.mutant === "movedWithoutRelease",
                    coldLoadMilliseconds: options.coldLoadMilliseconds,
                    warmLoadMilliseconds: options.warmLoadMilliseconds,
                    slots: 8,
                    startWarm: options.startWarm,
                });
                this.engines.set(instance.id, engine);
            }
        }
    }

    private handleWrite(key: string, value: string | undefined): void {
        if (!key.startsWith(placementPrefix) || value === undefined) {
            return;
        }
        const parsed = safeParseFabricPlacement(value);
        if (!parsed.success) {
            this.faultyValues.push(parsed.fault.message);
            return;
        }
        this.placements.set(parsed.data.fabricDomain, parsed.data);
        this.entries.forEach(entry => entry.followPlacement(parsed.data));
    }
}

const orderFault: Fault = { code: "endpointFailed", message: "no response", step: "order", notRun: false };

/** Returns the numbers from 0 to `length` - 1. */
export function count(length: number): readonly number[] {
    return Array.from({ length }, (_, index) => index);
}

function createInstance(id: string, fabricDomain: string, role: Instance["role"]): Instance {
    return { id, address: `${id}:1`, failureDomain: "zone-1", fabricDomain, role, state: "live" };
}
