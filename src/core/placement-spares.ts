/** Spares that can join a group now or soon. */
import type { InstanceId } from "./instances.js";
import type { PlacementDraft } from "./placement-draft.js";
import type { PlacementView } from "./placement-view.js";
import { isFree, isLeaving, isWarm, reportOf } from "./placement-view.js";
import type { ModelVersion } from "./replica-groups.js";

/** Returns the spares that can be used now, beginning with those that hold the model version. */
export function freeSpares(
    draft: PlacementDraft,
    view: PlacementView,
    model: ModelVersion,
    now: number,
): readonly InstanceId[] {
    const free = draft.spares.filter(instance => isFree(view, instance, now));
    const warm = free.filter(instance => isWarm(view, instance, model));
    return [...warm, ...free.filter(instance => !isWarm(view, instance, model))];
}

/** Returns the number of instances that become spares when the currently draining groups are released. */
export function countPendingSpares(draft: PlacementDraft, view: PlacementView, now: number): number {
    const draining = draft.groups.filter(group => group.state === "draining");
    return draining
        .flatMap(group => group.members)
        .filter(member => reportOf(view, member, now) !== undefined && !isLeaving(view, member)).length;
}
