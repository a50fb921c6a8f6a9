/** Plans the next order to each engine instance, so that its state follows the placement. */
import type { OrderKind } from "../contracts/engines.js";
import type { EndpointReport } from "./endpoints.js";
import type { InstanceId } from "./instances.js";
import type { FabricPlacement, PlacedGroup } from "./fabric-placement.js";
import type { PlacementView } from "./placement-view.js";
import { reportOf } from "./placement-view.js";
import type { ModelVersion, ReplicaGroupId } from "./replica-groups.js";

/** An order without its deadline, which is set when it is sent. */
export interface PlannedOrder {
    readonly instance: InstanceId;
    readonly kind: OrderKind;
    readonly group: ReplicaGroupId;
    readonly epoch: number;
    readonly model: ModelVersion;
    readonly members: readonly InstanceId[];
}

/** Returns every order that is needed now. */
export function planOrders(
    placement: FabricPlacement,
    view: PlacementView,
    now: number,
): readonly PlannedOrder[] {
    const inGroups = new Set(placement.groups.flatMap(group => group.members));
    const orders = placement.groups.flatMap(group => planGroupOrders(group, view, now));
    for (const instance of view.instances.keys()) {
        const report = reportOf(view, instance, now);
        if (!inGroups.has(instance) && report?.group !== undefined) {
            orders.push(planStrayRelease(instance, report.group, placement.epoch));
        }
    }
    return orders.filter(order => !view.hasUnsettledOrder(order.instance));
}

function planGroupOrders(group: PlacedGroup, view: PlacementView, now: number): PlannedOrder[] {
    const mayRelease = group.state === "draining" && isDrained(group, view, now);
    const orders: PlannedOrder[] = [];
    for (const instance of group.members) {
        const report = reportOf(view, instance, now);
        const kind = report === undefined ? undefined : orderFor(group, report, mayRelease);
        if (kind !== undefined) {
            const { epoch, model, members } = group;
            const leftGroup = kind === "release" ? report?.group : undefined;
            orders.push({ instance, kind, group: leftGroup ?? group.id, epoch, model, members });
        }
    }
    return orders;
}

/** Returns the order that a reporting member of a group needs, if any. */
export function orderFor(
    group: PlacedGroup,
    report: EndpointReport,
    mayRelease: boolean,
): OrderKind | undefined {
    switch (group.state) {
        case "loading":
            return orderToLoad(group, report);
        case "serving":
            return orderToServe(group, report);
        case "draining":
            return orderToDrain(group, report, mayRelease);
        case "forming":
        case "dissolved":
            return undefined;
    }
}

function orderToLoad(group: PlacedGroup, report: EndpointReport): OrderKind | undefined {
    if (report.group === undefined) {
        return "load";
    }
    const loads = report.state === "loading" || report.state === "ready";
    return report.group === group.id && report.epoch === group.epoch && loads ? undefined : "release";
}

function orderToServe(group: PlacedGroup, report: EndpointReport): OrderKind | undefined {
    const loaded = report.group === group.id && report.epoch === group.loadEpoch;
    return loaded && report.state === "ready" ? "serve" : undefined;
}

function orderToDrain(
    group: PlacedGroup,
    report: EndpointReport,
    mayRelease: boolean,
): OrderKind | undefined {
    if (report.group === undefined) {
        return undefined;
    }
    if (report.group !== group.id || mayRelease || report.state === "loading" || report.state === "ready") {
        return "release";
    }
    return report.state === "serving" ? "drain" : undefined;
}

/** Returns true if releasing the members of a draining group interrupts no stream that could still finish. */
export function isDrained(group: PlacedGroup, view: PlacementView, now: number): boolean {
    const since = view.drainingSince(group);
    if (since !== undefined && now >= since + view.policy.leavingMilliseconds) {
        return true;
    }
    const reports = group.members.map(member => reportOf(view, member, now));
    if (reports.some(report => report?.group !== group.id)) {
        return true;
    }
    return reports.every(
        report => report?.state !== "serving" && report?.load.running === 0 && report.load.waiting === 0,
    );
}

/** Plans the release of an instance that reports a group although the placement has it in none. */
function planStrayRelease(instance: InstanceId, group: ReplicaGroupId, epoch: number): PlannedOrder {
    const model = { model: "none", version: "none" };
    return { instance, kind: "release", group, epoch, model, members: [instance] };
}
