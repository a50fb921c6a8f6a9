/**
 * Schedules loads from the weight store. The bandwidth of the store is shared, so loading all groups at once would
 * delay all of them; the group with the fewest instances left to load goes first instead.
 */
import type { InstanceId } from "./instances.js";
import type { PlacementDraft } from "./placement-draft.js";
import type { PlacementPolicy } from "./placement-policy.js";
import type { PlacedGroup } from "./fabric-placement.js";
import type { PlacementView } from "./placement-view.js";
import { isWarm, reportOf } from "./placement-view.js";

/** Moves forming groups to loading, up to the limit of concurrent loads from the weight store. */
export function startLoads(draft: PlacementDraft, view: PlacementView, now: number): void {
    let loading = countColdLoads(draft, view, now);
    const forming = draft.groups.filter(group => group.state === "forming");
    const coldOf = new Map(forming.map(group => [group.id, coldMembers(group, view).length]));
    const cold = (group: PlacedGroup): number => coldOf.get(group.id) ?? 0;
    for (const group of [...forming].sort((left, right) => cold(left) - cold(right))) {
        const fits = loading === 0 || loading + cold(group) <= view.policy.weightStoreLoadsAtOnce;
        const isReachable = group.members.every(member => reportOf(view, member, now) !== undefined);
        if (isReachable && (cold(group) === 0 || fits)) {
            loading += cold(group);
            draft.moveGroup(group.id, "loading");
        }
    }
}

/** Returns the number of instances that are loading from the weight store. */
export function countColdLoads(draft: PlacementDraft, view: PlacementView, now: number): number {
    const loading = draft.groups.filter(group => group.state === "loading");
    return loading.flatMap(group =>
        coldMembers(group, view).filter(member => reportOf(view, member, now)?.state !== "ready"),
    ).length;
}

/** Returns how long another cold load would wait for the weight store, in milliseconds. */
export function estimateLoadQueueMilliseconds(
    draft: PlacementDraft,
    view: PlacementView,
    policy: PlacementPolicy,
    now: number,
): number {
    const forming = draft.groups.filter(group => group.state === "forming");
    const waiting = forming.flatMap(group => coldMembers(group, view)).length;
    const batches = Math.floor((countColdLoads(draft, view, now) + waiting) / policy.weightStoreLoadsAtOnce);
    return batches * policy.repair.coldLoadMilliseconds;
}

function coldMembers(group: PlacedGroup, view: PlacementView): readonly InstanceId[] {
    return group.members.filter(member => !isWarm(view, member, group.model));
}
