/** A placer's view of the instances of one fabric domain, and the condition of group members that follows from it. */
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import type { Instance, InstanceId } from "./instances.js";
import type { PlacedGroup } from "./fabric-placement.js";
import type { PlacementPolicy } from "./placement-policy.js";
import type { ModelVersion } from "./replica-groups.js";
import { isHealthy } from "./serving-gate.js";

/** A snapshot of a placer's knowledge. Times are local monotonic milliseconds. */
export interface PlacementView {
    readonly policy: PlacementPolicy;
    /** Engine instances of the fabric domain, from the platform's list. */
    readonly instances: ReadonlyMap<InstanceId, Instance>;
    readonly healthOf: (instance: InstanceId) => EndpointHealth | undefined;
    /** Since when the instance has been observed in the group and epoch of its latest report. */
    readonly observedInGroupSince: (instance: InstanceId) => number | undefined;
    /** True while an order to the instance may still take effect without a response, or must not be retried yet. */
    readonly hasUnsettledOrder: (instance: InstanceId) => boolean;
    /** Since when the instance has been silent, or undefined if it is healthy. */
    readonly silentSince: (instance: InstanceId) => number | undefined;
    /** Since when the group has been draining. */
    readonly drainingSince: (group: PlacedGroup) => number | undefined;
    /** Number of replica groups of a model that this fabric domain should hold. */
    readonly share: (model: string) => { readonly floor: number; readonly demand: number };
}

/**
 * Condition of a group member. "silent": no report within the health deadline. "lostWeights": it responds, but no
 * longer holds its part of this group. "leaving": it must be drained.
 */
export type MemberCondition = "good" | "silent" | "lostWeights" | "leaving";

/** Returns the report of an instance that is healthy at `now`. */
export function reportOf(view: PlacementView, instance: InstanceId, now: number): EndpointReport | undefined {
    const health = view.healthOf(instance);
    return isHealthy(health, now) ? health.report : undefined;
}

/** Returns true if the platform's list or the instance's own report shows it as leaving. */
export function isLeaving(view: PlacementView, instance: InstanceId): boolean {
    return (
        view.instances.get(instance)?.state === "leaving" || view.healthOf(instance)?.report.leaving === true
    );
}

/** Determines the condition of a group member. */
export function assessMember(
    view: PlacementView,
    group: PlacedGroup,
    instance: InstanceId,
    now: number,
): MemberCondition {
    const report = reportOf(view, instance, now);
    if (report === undefined) {
        return "silent";
    }
    if (isLeaving(view, instance)) {
        return "leaving";
    }
    return group.state !== "serving" || holdsGroupPart(group, report) ? "good" : "lostWeights";
}

/** Returns true if a member of a serving group is serving, or is ready for its order to serve. */
function holdsGroupPart(group: PlacedGroup, report: EndpointReport): boolean {
    if (report.group !== group.id) {
        return false;
    }
    if (report.state === "serving") {
        return report.epoch === group.epoch;
    }
    return report.state === "ready" && report.epoch === group.loadEpoch;
}

/** Returns true if the instance is healthy, idle, listed, not leaving, in no group and without an unsettled order. */
export function isFree(view: PlacementView, instance: InstanceId, now: number): boolean {
    const report = reportOf(view, instance, now);
    if (report === undefined || isLeaving(view, instance) || !view.instances.has(instance)) {
        return false;
    }
    return report.state === "idle" && report.group === undefined && !view.hasUnsettledOrder(instance);
}

/** Returns true if the instance's latest report says that it holds the weights of a model version. */
export function isWarm(view: PlacementView, instance: InstanceId, model: ModelVersion): boolean {
    const warm = view.healthOf(instance)?.report.warm ?? [];
    return warm.some(held => held.model === model.model && held.version === model.version);
}
