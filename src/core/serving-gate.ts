/**
 * The serving gate: whether a replica group may take new work at this moment. An entry checks it immediately before
 * each dispatch, against the endpoint health that the entry itself holds. The gate trusts neither orders nor placers:
 * it requires a report from every member, made by the member itself and not past its health deadline.
 */
import type { EndpointHealth } from "./endpoints.js";
import type { InstanceId } from "./instances.js";
import type { ReplicaGroup } from "./replica-groups.js";

/** Why a group takes no new work. */
export type GateReason =
    | "groupNotServing"
    | "memberUnknown"
    | "memberSilent"
    | "memberLeaving"
    | "memberInOtherGroup"
    | "memberOnOtherEpoch"
    | "memberNotServing";

/** Whether a group may take new work; a closed gate names the first member that closes it, if a member does. */
export type GateDecision =
    | { readonly open: true }
    | { readonly open: false; readonly reason: GateReason; readonly instance?: InstanceId };

/** What an entry knows of group members. */
export interface GateView {
    /** The latest report of an instance, or undefined if there is none. */
    readonly healthOf: (instance: InstanceId) => EndpointHealth | undefined;
    /** True if the platform's instance list names the instance as leaving. */
    readonly isLeaving: (instance: InstanceId) => boolean;
}

const openGate: GateDecision = { open: true };

/** Returns true if the report is recent enough to represent the instance's current state. */
export function isHealthy(health: EndpointHealth | undefined, now: number): health is EndpointHealth {
    return health !== undefined && now < health.healthyUntil;
}

/** Decides whether `group` may take new work at `now` (local monotonic milliseconds). */
export function checkServingGate(group: ReplicaGroup, view: GateView, now: number): GateDecision {
    if (group.state !== "serving" || group.members.length === 0) {
        return { open: false, reason: "groupNotServing" };
    }
    for (const instance of group.members) {
        const reason = checkMember(group, instance, view, now);
        if (reason !== undefined) {
            return { open: false, reason, instance };
        }
    }
    return openGate;
}

/** Returns why a member closes the gate of its group, or undefined if it does not. */
export function checkMember(
    group: ReplicaGroup,
    instance: InstanceId,
    view: GateView,
    now: number,
): GateReason | undefined {
    const health = view.healthOf(instance);
    if (health === undefined) {
        return "memberUnknown";
    }
    if (!isHealthy(health, now)) {
        return "memberSilent";
    }
    const report = health.report;
    if (report.leaving || view.isLeaving(instance)) {
        return "memberLeaving";
    }
    if (report.group !== group.id) {
        return "memberInOtherGroup";
    }
    if (report.epoch !== group.epoch) {
        return "memberOnOtherEpoch";
    }
    return report.state === "serving" ? undefined : "memberNotServing";
}
