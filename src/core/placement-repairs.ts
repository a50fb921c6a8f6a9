/** Applies the repair decision to every group that lost members. */
import type { InstanceId } from "./instances.js";
import type { PlacementDraft } from "./placement-draft.js";
import { estimateLoadQueueMilliseconds } from "./placement-loads.js";
import { countPendingSpares, freeSpares } from "./placement-spares.js";
import { groupSettleMilliseconds } from "./placement-policy.js";
import type { PlacedGroup } from "./fabric-placement.js";
import type { PlacementView } from "./placement-view.js";
import { assessMember, isWarm, reportOf } from "./placement-view.js";
import type { DecideRepair, RepairContext } from "./repair-decision.js";

/** A group that cannot serve, with its lost members by cause. */
interface BrokenGroup {
    readonly group: PlacedGroup;
    readonly silent: readonly InstanceId[];
    readonly lostWeights: readonly InstanceId[];
    /** Longest silence of a member, in milliseconds. */
    readonly silentMilliseconds: number;
}

/** Repairs broken groups, those with the fewest silent members first. */
export function planRepairs(
    draft: PlacementDraft,
    view: PlacementView,
    decide: DecideRepair,
    now: number,
): void {
    const broken = findBrokenGroups(draft, view, now);
    const settled = new Set<string>();
    let pendingSpares = countPendingSpares(draft, view, now);
    for (const each of broken) {
        const free = freeSpares(draft, view, each.group.model, now).length;
        const isWaitingForSpares = free < each.silent.length && free + pendingSpares >= each.silent.length;
        if (isWaitingForSpares) {
            pendingSpares -= each.silent.length - free;
        } else if (!settled.has(each.group.id)) {
            pendingSpares += repairGroup(draft, view, decide, each, broken, settled, now);
        }
    }
}

/**
 * Replaces members that are still loading weights by spares that hold them, such as a paused member that resumed after
 * its replacement began to load. Does so only if the warm spares cover every loading member, so that none has to load
 * from the start again, and if the replacement is faster than the remaining load.
 */
export function replaceLoadingMembers(draft: PlacementDraft, view: PlacementView, now: number): void {
    const { coldLoadMilliseconds, warmLoadMilliseconds } = view.policy.repair;
    const warmMilliseconds = Math.max(groupSettleMilliseconds(view.policy), warmLoadMilliseconds);
    for (const group of draft.groups.filter(each => each.state === "loading")) {
        const loading = group.members.filter(
            member => reportOf(view, member, now)?.state === "loading" && !isWarm(view, member, group.model),
        );
        const since = loading.map(member => view.observedInGroupSince(member) ?? now);
        const isFaster = Math.max(...since) + coldLoadMilliseconds > now + warmMilliseconds;
        const spares = freeSpares(draft, view, group.model, now);
        const warm = spares.filter(spare => isWarm(view, spare, group.model));
        if (loading.length > 0 && warm.length >= loading.length && isFaster) {
            const replacement = new Map(loading.map((member, index) => [member, warm[index] ?? member]));
            const members = group.members.map(member => replacement.get(member) ?? member);
            draft.reformGroup(group.id, members);
        }
    }
}

/** Applies the decision; returns how many spares it frees beyond those that the group itself waits for. */
function repairGroup(
    draft: PlacementDraft,
    view: PlacementView,
    decide: DecideRepair,
    each: BrokenGroup,
    broken: readonly BrokenGroup[],
    settled: Set<string>,
    now: number,
): number {
    const donor = findDonor(each, broken, settled);
    const context = createRepairContext(draft, view, each, donor !== undefined, now);
    switch (decide(context, view.policy)) {
        case "wait":
            return 0;
        case "warmSpare":
        case "coldSpare":
            settled.add(each.group.id);
            replaceMembers(draft, view, each, now);
            return 0;
        case "merge": {
            const dissolved = donor ?? each;
            settled.add(dissolved.group.id);
            draft.moveGroup(dissolved.group.id, "draining");
            const survivors = dissolved.group.members.length - dissolved.silent.length;
            return donor === undefined ? survivors : survivors - each.silent.length;
        }
    }
}

/** Returns the groups with silent members or lost weights, those with the fewest silent members first. */
export function findBrokenGroups(
    draft: PlacementDraft,
    view: PlacementView,
    now: number,
): readonly BrokenGroup[] {
    const broken: BrokenGroup[] = [];
    for (const group of draft.groups.filter(each => each.state !== "draining")) {
        const conditions = group.members.map(member => assessMember(view, group, member, now));
        const silent = group.members.filter((_, index) => conditions[index] === "silent");
        const lostWeights = group.members.filter((_, index) => conditions[index] === "lostWeights");
        const silences = silent.map(member => now - (view.silentSince(member) ?? now));
        if (silent.length + lostWeights.length > 0) {
            broken.push({ group, silent, lostWeights, silentMilliseconds: Math.max(0, ...silences) });
        }
    }
    return broken.sort((left, right) => left.silent.length - right.silent.length);
}

/** Returns the broken group with the most silent members whose survivors can complete `each`. */
function findDonor(
    each: BrokenGroup,
    broken: readonly BrokenGroup[],
    settled: ReadonlySet<string>,
): BrokenGroup | undefined {
    const others = broken.filter(
        other =>
            other.group.id !== each.group.id &&
            !settled.has(other.group.id) &&
            other.group.model.model === each.group.model.model &&
            other.silent.length > 0 &&
            other.group.members.length - other.silent.length >= each.silent.length,
    );
    return others.at(-1);
}

function createRepairContext(
    draft: PlacementDraft,
    view: PlacementView,
    each: BrokenGroup,
    survivorsComplete: boolean,
    now: number,
): RepairContext {
    const spares = freeSpares(draft, view, each.group.model, now);
    const warmSpares = spares.filter(spare => isWarm(view, spare, each.group.model)).length;
    return {
        instances: each.group.members.length,
        silent: each.silent.length,
        lostWeights: each.lostWeights.length,
        silentMilliseconds: each.silentMilliseconds,
        warmSpares,
        coldSpares: spares.length - warmSpares,
        loadQueueMilliseconds: estimateLoadQueueMilliseconds(draft, view, view.policy, now),
        canSurvivorsCompleteGroup: survivorsComplete,
    };
}

/** Replaces silent members by spares, and members that lost their weights by warm spares. */
function replaceMembers(draft: PlacementDraft, view: PlacementView, each: BrokenGroup, now: number): void {
    const spares = [...freeSpares(draft, view, each.group.model, now)];
    if (spares.length < each.silent.length) {
        return;
    }
    const replacement = new Map<InstanceId, InstanceId>();
    for (const member of each.silent) {
        replacement.set(member, spares.shift() ?? member);
    }
    for (const member of each.lostWeights) {
        const spare = spares[0];
        if (spare !== undefined && isWarm(view, spare, each.group.model)) {
            replacement.set(member, spare);
            spares.shift();
        }
    }
    const members = each.group.members.map(member => replacement.get(member) ?? member);
    draft.reformGroup(each.group.id, members);
}
