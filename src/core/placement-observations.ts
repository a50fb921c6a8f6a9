/** Reports of engine instances that a placer has received, and its orders that may still take effect. */
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import { isLaterReport } from "./endpoints.js";
import type { InstanceId } from "./instances.js";

/** The group, epoch and incarnation of an instance's latest report, and since when it has reported them. */
interface GroupObservation {
    readonly group: string | undefined;
    readonly epoch: number;
    readonly incarnation: number;
    readonly since: number;
}

/** An order without a response. */
interface OutstandingOrder {
    readonly call: number;
    /** Local monotonic milliseconds after which the order can no longer take effect. */
    readonly settledAt: number;
}

/** Holds the latest report of each instance. Times are local monotonic milliseconds. */
export class PlacementObservations {
    private readonly health = new Map<InstanceId, EndpointHealth>();
    private readonly groupObservations = new Map<InstanceId, GroupObservation>();
    private readonly outstanding = new Map<InstanceId, OutstandingOrder>();
    private readonly retryAt = new Map<InstanceId, number>();

    private constructor() {}

    public static create(): PlacementObservations {
        return new PlacementObservations();
    }

    public healthOf(instance: InstanceId): EndpointHealth | undefined {
        return this.health.get(instance);
    }

    /** Stores a report unless a later one is known. */
    public applyReport(report: EndpointReport, healthyUntil: number, now: number): void {
        if (!isLaterReport(report, this.health.get(report.instance)?.report)) {
            return;
        }
        this.health.set(report.instance, { report, healthyUntil });
        const { group, epoch, incarnation } = report;
        const known = this.groupObservations.get(report.instance);
        if (known?.group !== group || known?.epoch !== epoch || known?.incarnation !== incarnation) {
            this.groupObservations.set(report.instance, { group, epoch, incarnation, since: now });
        }
    }

    /** Returns since when the instance has been observed in its current group and epoch. */
    public observedInGroupSince(instance: InstanceId): number | undefined {
        return this.groupObservations.get(instance)?.since;
    }

    /** Makes every report stale, and restarts the time that instances have been observed in their groups. */
    public expire(): void {
        for (const [instance, health] of this.health) {
            this.health.set(instance, { report: health.report, healthyUntil: Number.NEGATIVE_INFINITY });
        }
        this.groupObservations.clear();
    }

    public startOrder(instance: InstanceId, call: number, settledAt: number): void {
        this.outstanding.set(instance, { call, settledAt });
    }

    /**
     * Records the response to an order, which then takes no further effect. A refused order is not retried before
     * `retryAt`.
     */
    public finishOrder(instance: InstanceId, call: number, retryAt: number): void {
        if (this.outstanding.get(instance)?.call === call) {
            this.outstanding.delete(instance);
        }
        this.retryAt.set(instance, retryAt);
    }

    public hasUnsettledOrder(instance: InstanceId, now: number): boolean {
        const order = this.outstanding.get(instance);
        return order !== undefined && now < order.settledAt;
    }

    public canOrder(instance: InstanceId, now: number): boolean {
        return !this.hasUnsettledOrder(instance, now) && now >= (this.retryAt.get(instance) ?? now);
    }

    /** Removes the state of all instances but the given ones. */
    public keepOnly(instances: ReadonlySet<InstanceId>): void {
        for (const known of [this.health, this.groupObservations, this.retryAt, this.outstanding]) {
            for (const instance of known.keys()) {
                if (!instances.has(instance)) {
                    known.delete(instance);
                }
            }
        }
    }
}
