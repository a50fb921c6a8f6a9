/**
 * The placer of one fabric domain decides its replica groups while it holds the fabric domain's lease. It takes events
 * and the current time and returns commands. Times are local monotonic milliseconds.
 */
import type { EngineOrder } from "../contracts/engines.js";
import type { EndpointReport } from "./endpoints.js";
import type { Instance, InstanceId } from "./instances.js";
import { PlacerLease } from "./placer-lease.js";
import type { PlacementShare, PlacerCommand, PlacerEvent, PlacerOptions } from "./placement-messages.js";
import { PlacementObservations } from "./placement-observations.js";
import type { PlannedOrder } from "./placement-orders.js";
import { planOrders } from "./placement-orders.js";
import { planPlacement } from "./placement-plan.js";
import type { PlacementPolicy } from "./placement-policy.js";
import { orderSettleMilliseconds, takeoverMilliseconds } from "./placement-policy.js";
import { PlacementRecord } from "./placement-record.js";
import type { FabricPlacement } from "./fabric-placement.js";
import type { PlacementView } from "./placement-view.js";

const refusedOrderRetryMilliseconds = 500;

/** State machine of one placer for one fabric domain. */
export class Placer {
    private readonly lease: PlacerLease;
    private readonly observations = PlacementObservations.create();
    private record: PlacementRecord;
    private instances: ReadonlyMap<InstanceId, Instance> | undefined;
    private share: PlacementShare | undefined;
    private wasHeld = false;
    private heldSince = 0;
    private probedAt: number | undefined;
    private readonly awaitedProbes = new Set<number>();
    private readonly drainingSince = new Map<string, number>();
    private call = 0;
    private lastStepAt: number | undefined;
    private commands: PlacerCommand[] = [];

    private constructor(private readonly options: PlacerOptions) {
        this.lease = PlacerLease.create(options);
        this.record = PlacementRecord.create(options.fabricDomain);
    }

    public static create(options: PlacerOptions): Placer {
        return new Placer(options);
    }

    /** The placement as this placer last read or wrote it in its current lease term. */
    public get placement(): FabricPlacement | undefined {
        return this.record.placement;
    }

    /** True if this placer may act for the fabric domain at `now`. */
    public isHolder(now: number): boolean {
        return this.lease.heldUntil(now) !== undefined;
    }

    /** Handles one event and returns the commands to carry out. */
    public step(event: PlacerEvent, now: number): readonly PlacerCommand[] {
        this.commands = [];
        this.checkPause(now);
        this.checkLease(now);
        this.handle(event, now);
        this.checkLease(now);
        if (event.kind === "tick" || event.kind === "placementSwapped") {
            this.advancePlacement(now);
        }
        return this.commands;
    }

    /** Releases the lease before the process exits. */
    public stop(now: number): readonly PlacerCommand[] {
        return this.lease.release(now);
    }

    private handle(event: PlacerEvent, now: number): void {
        switch (event.kind) {
            case "tick":
                this.commands.push(...this.lease.tick(now));
                return;
            case "leaseRead":
            case "leaseGranted":
            case "leaseClaimed":
            case "leaseRenewed":
                this.commands.push(...this.lease.handle(event, now));
                return;
            case "instances":
                this.handleInstances(event.instances);
                return;
            case "health":
                this.observations.applyReport(event.health.report, event.health.healthyUntil, now);
                return;
            case "share":
                this.share = event.share;
                return;
            case "placementRead":
                this.commands.push(...this.record.handleRead(event.call, event.result, now));
                return;
            case "placementSwapped":
                this.commands.push(...this.record.handleSwapped(event.call, event.outcome, now));
                return;
            case "probed":
                this.awaitedProbes.delete(event.call);
                if (event.result.success) {
                    this.applyDirectReport(event.result.data, event.sentAt, now);
                }
                return;
            case "orderAnswered":
                this.handleOrderResponse(event, now);
        }
    }

    /**
     * Drops the lease and all health after a late step: a paused process may have lost its lease, and its health is
     * stale.
     */
    private checkPause(now: number): void {
        const gap = now - (this.lastStepAt ?? now);
        this.lastStepAt = now;
        if (this.share !== undefined && gap > this.share.policy.lateTickMilliseconds) {
            this.commands.push({ kind: "record", body: { kind: "lateTick", gapMilliseconds: gap } });
            this.commands.push(...this.lease.release(now));
            this.observations.expire();
        }
    }

    /**
     * Resets the state of the lease term when the lease is acquired or lost: knowledge of one term is not valid in the
     * next.
     */
    private checkLease(now: number): void {
        const isHeld = this.lease.heldUntil(now) !== undefined;
        if (isHeld === this.wasHeld) {
            return;
        }
        const lease = this.options.fabricDomain;
        this.commands.push({
            kind: "record",
            body: isHeld ? { kind: "leaseAcquired", lease } : { kind: "leaseLost", lease, reason: "lapsed" },
        });
        this.wasHeld = isHeld;
        this.heldSince = now;
        this.record = PlacementRecord.create(this.options.fabricDomain);
        this.probedAt = undefined;
        this.awaitedProbes.clear();
        this.drainingSince.clear();
    }

    private handleInstances(instances: readonly Instance[]): void {
        const engines = instances.filter(
            instance => instance.role === "engine" && instance.fabricDomain === this.options.fabricDomain,
        );
        this.instances = new Map(engines.map(instance => [instance.id, instance]));
        const named = this.placement?.groups.flatMap(group => group.members) ?? [];
        this.observations.keepOnly(new Set([...this.instances.keys(), ...named]));
    }

    private advancePlacement(now: number): void {
        const heldUntil = this.lease.heldUntil(now);
        if (this.share === undefined || heldUntil === undefined || this.record.isBusy) {
            return;
        }
        if (now < this.heldSince + takeoverMilliseconds(this.share.policy)) {
            return;
        }
        if (this.placement === undefined) {
            this.readPlacement(now);
            return;
        }
        if (this.areProbesComplete(this.share.policy, now)) {
            this.planAndOrder(this.placement, this.createView(this.share, now), heldUntil, now);
        }
    }

    private readPlacement(now: number): void {
        if (this.record.isIdle(now)) {
            this.commands.push(this.record.read(this.nextCall()));
        }
    }

    /**
     * Probes every engine once per lease term; returns true when all have ended or the order time-out has passed.
     */
    private areProbesComplete(policy: PlacementPolicy, now: number): boolean {
        if (this.instances === undefined) {
            return false;
        }
        if (this.probedAt === undefined) {
            this.probedAt = now;
            for (const instance of this.instances.values()) {
                const call = this.nextCall();
                this.awaitedProbes.add(call);
                this.commands.push({ kind: "probe", call, instance });
            }
        }
        return this.awaitedProbes.size === 0 || now >= this.probedAt + policy.orderMilliseconds;
    }

    private planAndOrder(
        placement: FabricPlacement,
        view: PlacementView,
        heldUntil: number,
        now: number,
    ): void {
        this.trackDrainingGroups(placement, now);
        const next = this.record.isIdle(now) ? this.planNext(placement, view, now) : undefined;
        if (next !== undefined) {
            this.commands.push(this.record.swap(this.nextCall(), next, heldUntil));
            return;
        }
        if (this.record.isFenced) {
            planOrders(placement, view, now).forEach(order =>
                this.sendOrder(order, view.policy, heldUntil, now),
            );
        }
    }

    /**
     * Returns the next value. The first one of a term is written even if unchanged, so that writes of earlier holders
     * conflict.
     */
    private planNext(
        placement: FabricPlacement,
        view: PlacementView,
        now: number,
    ): FabricPlacement | undefined {
        const nonce = this.options.createNonce();
        const { decideRepair } = this.options;
        const next = planPlacement(placement, view, { decideRepair }, nonce, now);
        return next ?? (this.record.isFenced ? undefined : { ...placement, nonce });
    }

    private createView(share: PlacementShare, now: number): PlacementView {
        const { observations } = this;
        const startedAt = this.probedAt ?? now;
        return {
            policy: share.policy,
            instances: this.instances ?? new Map(),
            share: share.shareOf,
            healthOf: instance => observations.healthOf(instance),
            observedInGroupSince: instance => observations.observedInGroupSince(instance),
            hasUnsettledOrder: instance => !observations.canOrder(instance, now),
            silentSince: instance => {
                const healthyUntil = observations.healthOf(instance)?.healthyUntil;
                const lastHealthy = (healthyUntil ?? startedAt) - share.policy.healthMilliseconds;
                const isHealthyNow = healthyUntil !== undefined && now < healthyUntil;
                return isHealthyNow ? undefined : Math.max(startedAt, lastHealthy);
            },
            drainingSince: group => this.drainingSince.get(group.id),
        };
    }

    private trackDrainingGroups(placement: FabricPlacement, now: number): void {
        const draining = placement.groups.filter(group => group.state === "draining");
        const ids = new Set(draining.map(group => group.id));
        ids.forEach(id => this.drainingSince.set(id, this.drainingSince.get(id) ?? now));
        const ended = [...this.drainingSince.keys()].filter(id => !ids.has(id));
        ended.forEach(id => this.drainingSince.delete(id));
    }

    private sendOrder(planned: PlannedOrder, policy: PlacementPolicy, heldUntil: number, now: number): void {
        const instance = this.instances?.get(planned.instance);
        if (instance === undefined) {
            return;
        }
        const { kind, group, epoch, model, members } = planned;
        const deadline = now + policy.orderMilliseconds;
        const order: EngineOrder = { kind, group, epoch, model, members, deadline };
        const call = this.nextCall();
        this.observations.startOrder(instance.id, call, now + orderSettleMilliseconds(policy));
        this.commands.push({
            kind: "record",
            body: { kind: "orderSent", group, epoch, instance: instance.id, order: kind },
        });
        const notAfter = Math.min(heldUntil, deadline);
        this.commands.push({ kind: "order", call, instance, order, notAfter });
    }

    private handleOrderResponse(
        event: Extract<PlacerEvent, { readonly kind: "orderAnswered" }>,
        now: number,
    ): void {
        if (!event.result.success) {
            return;
        }
        const { accepted, report } = event.result.data;
        const retryAt = accepted ? now : now + refusedOrderRetryMilliseconds;
        this.observations.finishOrder(event.instance, event.call, retryAt);
        this.applyDirectReport(report, event.sentAt, now);
        const { instance } = event;
        const { epoch } = report;
        this.commands.push({
            kind: "record",
            body: { kind: "orderAnswered", group: report.group ?? "", epoch, instance, accepted },
        });
    }

    private applyDirectReport(report: EndpointReport, sentAt: number, now: number): void {
        const healthMilliseconds = this.share?.policy.healthMilliseconds ?? 0;
        this.observations.applyReport(report, sentAt + healthMilliseconds, now);
    }

    private nextCall(): number {
        this.call += 1;
        return this.call;
    }
}
