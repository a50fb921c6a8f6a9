/**
 * The placers of one failure domain, one per fabric domain. Passes each event to the placers that it concerns, and
 * divides the demand among fabric domains.
 */
import type { EndpointHealth } from "./endpoints.js";
import type { FabricDomainId, FailureDomainId } from "./failure-domains.js";
import { rankByRendezvous } from "./hashes.js";
import type { Instance, InstanceId } from "./instances.js";
import type { PlacementShare, PlacerCommand, PlacerEvent } from "./placement-messages.js";
import type { PlacementPolicy } from "./placement-policy.js";
import { divideGroups } from "./group-shares.js";
import { Placer } from "./placer.js";
import type { DecideRepair } from "./repair-decision.js";

/** Options of the placers of one failure domain. */
export interface DomainPlacersOptions {
    readonly failureDomain: FailureDomainId;
    /** The entry instance that this process runs on. */
    readonly instance: InstanceId;
    /** Identifies this process and its current run. */
    readonly holder: string;
    readonly createNonce: () => string;
    readonly decideRepair: DecideRepair;
}

/** A command of the placer of one fabric domain. */
export interface DomainCommand {
    readonly fabricDomain: FabricDomainId;
    readonly command: PlacerCommand;
}

/** Events of a failure domain; a response names the fabric domain whose command it responds to. */
export type DomainEvent =
    | { readonly kind: "tick" }
    | { readonly kind: "instances"; readonly instances: readonly Instance[] }
    | { readonly kind: "health"; readonly health: EndpointHealth }
    | { readonly kind: "policy"; readonly policy: PlacementPolicy }
    | { readonly kind: "answer"; readonly fabricDomain: FabricDomainId; readonly event: PlacerEvent };

const shareUpdateIntervalMilliseconds = 1_000;
/**
 * Time after its health has expired during which an instance still counts as capacity of its fabric domain, in
 * milliseconds.
 */
const capacityGraceMilliseconds = 30_000;

/** The placers of one process. Times are local monotonic milliseconds. */
export class DomainPlacers {
    private readonly placers = new Map<FabricDomainId, Placer>();
    private readonly fabricOf = new Map<InstanceId, FabricDomainId>();
    private readonly healthyUntil = new Map<InstanceId, number>();
    private engines: readonly Instance[] = [];
    private entries: readonly InstanceId[] = [];
    private policy: PlacementPolicy | undefined;
    private nextShareUpdateAt = 0;

    private constructor(private readonly options: DomainPlacersOptions) {}

    public static create(options: DomainPlacersOptions): DomainPlacers {
        return new DomainPlacers(options);
    }

    /** Returns the placer of a fabric domain, if the fabric domain is known. */
    public placerOf(fabricDomain: FabricDomainId): Placer | undefined {
        return this.placers.get(fabricDomain);
    }

    public get fabricDomains(): readonly FabricDomainId[] {
        return [...this.placers.keys()];
    }

    public step(event: DomainEvent, now: number): readonly DomainCommand[] {
        switch (event.kind) {
            case "tick":
                return [...this.updateShares(now), ...this.stepAll(event, now)];
            case "instances":
                return this.handleInstances(event.instances, now);
            case "health":
                return this.handleHealth(event.health, now);
            case "policy":
                this.policy = event.policy;
                this.nextShareUpdateAt = now;
                return this.updateShares(now);
            case "answer":
                return this.stepOne(event.fabricDomain, event.event, now);
        }
    }

    /** Releases every lease before the process exits. */
    public stop(now: number): readonly DomainCommand[] {
        return [...this.placers].flatMap(([fabricDomain, placer]) =>
            placer.stop(now).map(command => ({ fabricDomain, command })),
        );
    }

    private handleInstances(instances: readonly Instance[], now: number): readonly DomainCommand[] {
        const own = instances.filter(each => each.failureDomain === this.options.failureDomain);
        this.engines = own.filter(each => each.role === "engine");
        this.entries = own.filter(each => each.role === "entry").map(each => each.id);
        this.fabricOf.clear();
        this.engines.forEach(each => this.fabricOf.set(each.id, each.fabricDomain));
        [...this.healthyUntil.keys()]
            .filter(instance => !this.fabricOf.has(instance))
            .forEach(instance => this.healthyUntil.delete(instance));
        for (const fabricDomain of new Set(this.fabricOf.values())) {
            if (!this.placers.has(fabricDomain)) {
                this.placers.set(fabricDomain, this.createPlacer(fabricDomain));
            }
        }
        this.nextShareUpdateAt = now;
        return [...this.stepAll({ kind: "instances", instances: own }, now), ...this.updateShares(now)];
    }

    private createPlacer(fabricDomain: FabricDomainId): Placer {
        const { holder, createNonce, decideRepair, instance } = this.options;
        return Placer.create({
            fabricDomain,
            holder,
            createNonce,
            decideRepair,
            leaseSeconds: () => this.policy?.leaseSeconds ?? 10,
            rank: () => {
                const index = rankByRendezvous(fabricDomain, this.entries).indexOf(instance);
                return index < 0 ? this.entries.length : index;
            },
        });
    }

    private handleHealth(health: EndpointHealth, now: number): readonly DomainCommand[] {
        const { instance } = health.report;
        const fabricDomain = this.fabricOf.get(instance);
        if (fabricDomain === undefined) {
            return [];
        }
        this.healthyUntil.set(instance, Math.max(health.healthyUntil, this.healthyUntil.get(instance) ?? 0));
        return this.stepOne(fabricDomain, { kind: "health", health }, now);
    }

    private updateShares(now: number): readonly DomainCommand[] {
        if (this.policy === undefined || now < this.nextShareUpdateAt) {
            return [];
        }
        this.nextShareUpdateAt = now + shareUpdateIntervalMilliseconds;
        const policy = this.policy;
        const capacities = this.countCapacities(now);
        const shares = new Map(
            policy.models.map(model => {
                const size = model.instancesPerReplica;
                const floor = divideGroups(model.floor, size, capacities);
                const demand = divideGroups(model.demand, size, capacities);
                return [model.model, { floor, demand }];
            }),
        );
        return [...this.placers.keys()].flatMap(fabricDomain => {
            const share: PlacementShare = {
                policy,
                shareOf: model => ({
                    floor: shares.get(model)?.floor.get(fabricDomain) ?? 0,
                    demand: shares.get(model)?.demand.get(fabricDomain) ?? 0,
                }),
            };
            return this.stepOne(fabricDomain, { kind: "share", share }, now);
        });
    }

    private countCapacities(now: number): readonly { fabricDomain: FabricDomainId; instances: number }[] {
        const counts = new Map([...this.placers.keys()].map(fabricDomain => [fabricDomain, 0]));
        for (const engine of this.engines) {
            const until = this.healthyUntil.get(engine.id);
            const isUsable = until === undefined || now < until + capacityGraceMilliseconds;
            if (engine.state === "live" && isUsable) {
                counts.set(engine.fabricDomain, (counts.get(engine.fabricDomain) ?? 0) + 1);
            }
        }
        return [...counts].map(([fabricDomain, instances]) => ({ fabricDomain, instances }));
    }

    private stepAll(event: PlacerEvent, now: number): readonly DomainCommand[] {
        return [...this.placers.keys()].flatMap(fabricDomain => this.stepOne(fabricDomain, event, now));
    }

    private stepOne(fabricDomain: FabricDomainId, event: PlacerEvent, now: number): readonly DomainCommand[] {
        const commands = this.placers.get(fabricDomain)?.step(event, now) ?? [];
        return commands.map(command => ({ fabricDomain, command }));
    }
}
