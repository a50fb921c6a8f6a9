/** Plans the next value of a fabric domain's placement, with every change that the placer's current view allows. */
import { chooseGroupToDrain } from "./drains.js";
import type { InstanceId } from "./instances.js";
import { PlacementDraft } from "./placement-draft.js";
import { startLoads } from "./placement-loads.js";
import type { PlacementModel } from "./placement-policy.js";
import { groupSettleMilliseconds } from "./placement-policy.js";
import { planRepairs, replaceLoadingMembers } from "./placement-repairs.js";
import type { FabricPlacement, PlacedGroup } from "./fabric-placement.js";
import { freeSpares } from "./placement-spares.js";
import type { PlacementView } from "./placement-view.js";
import { assessMember, isFree, reportOf } from "./placement-view.js";
import type { ModelVersion } from "./replica-groups.js";
import type { DecideRepair } from "./repair-decision.js";
import { computeSpareReserve } from "./repair-decision.js";
import { checkServingGate } from "./serving-gate.js";

/** Decisions that experiments replace. */
export interface PlanOptions {
    readonly decideRepair: DecideRepair;
}

/** Returns the placement after all changes that are due, or undefined if nothing changes. */
export function planPlacement(
    placement: FabricPlacement,
    view: PlacementView,
    options: PlanOptions,
    nonce: string,
    now: number,
): FabricPlacement | undefined {
    const draft = PlacementDraft.create(placement);
    raiseEpochToReported(draft, view, now);
    finishDrains(draft, view, now);
    updateSpares(draft, view, now);
    startServing(draft, view, now);
    drainLeaving(draft, view, now);
    planRepairs(draft, view, options.decideRepair, now);
    replaceLoadingMembers(draft, view, now);
    startGroups(draft, view, now);
    drainVoluntarily(draft, view, now);
    startLoads(draft, view, now);
    return draft.finish(nonce);
}

/**
 * Raises the epoch counter to reported epochs: if the value was lost, engines with higher epochs refuse every order.
 */
function raiseEpochToReported(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const instance of view.instances.keys()) {
        draft.raiseEpochTo(reportOf(view, instance, now)?.epoch ?? 0);
    }
}

/** Dissolves draining groups whose members have all been released or are not healthy. */
function finishDrains(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const group of draft.groups) {
        const isDrained = group.members.every(
            member => reportOf(view, member, now) === undefined || isReleasedMember(view, member, now),
        );
        if (group.state === "draining" && isDrained) {
            draft.dissolveGroup(group.id, member => isFree(view, member, now));
        }
    }
}

function isReleasedMember(view: PlacementView, instance: InstanceId, now: number): boolean {
    const report = reportOf(view, instance, now);
    return report?.group === undefined && !view.hasUnsettledOrder(instance);
}

/** Adds idle instances as spares; drops instances that are no longer listed, and spares that are leaving. */
function updateSpares(draft: PlacementDraft, view: PlacementView, now: number): void {
    const inGroups = new Set(draft.groups.flatMap(group => group.members));
    for (const instance of view.instances.keys()) {
        if (!inGroups.has(instance) && !draft.isSpare(instance) && isFree(view, instance, now)) {
            draft.addSpare(instance);
        }
    }
    for (const instance of [...draft.spares, ...draft.quarantined]) {
        const listed = view.instances.get(instance);
        if (listed === undefined || (listed.state === "leaving" && draft.isSpare(instance))) {
            draft.forget(instance);
        }
    }
}

/** Moves groups to serving once every member is loaded and no member can receive work for an earlier group. */
function startServing(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const group of draft.groups) {
        const isReady = group.members.every(member => isReadyMember(group, view, member, now));
        if (group.state === "loading" && isReady) {
            draft.moveGroup(group.id, "serving");
        }
    }
}

function isReadyMember(group: PlacedGroup, view: PlacementView, instance: InstanceId, now: number): boolean {
    const report = reportOf(view, instance, now);
    const since = view.observedInGroupSince(instance);
    if (report === undefined || since === undefined || view.hasUnsettledOrder(instance)) {
        return false;
    }
    const isLoaded =
        report.group === group.id && report.epoch === group.loadEpoch && report.state === "ready";
    const isSettled = now >= since + groupSettleMilliseconds(view.policy);
    return isLoaded && isSettled && assessMember(view, group, instance, now) === "good";
}

/** Drains groups with a leaving member, so that they finish their streams and take no new work. */
function drainLeaving(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const group of draft.groups.filter(each => each.state !== "draining")) {
        if (group.members.some(member => assessMember(view, group, member, now) === "leaving")) {
            draft.moveGroup(group.id, "draining");
        }
    }
}

/** Creates groups up to the demand, then further groups from the spares above the reserve. */
function startGroups(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const model of sortByShortfall(draft, view)) {
        const { demand } = view.share(model.model);
        while (countGroups(draft, model) < demand && tryStartGroup(draft, view, model, 0, now)) {
            continue;
        }
    }
    const reserve = computeSpareReserve(view.instances.size, view.policy);
    for (const model of view.policy.models) {
        if (hasOtherVersion(draft, model) && countGroups(draft, model) <= view.share(model.model).demand) {
            tryStartGroup(draft, view, model, 0, now);
        }
    }
    const mostDemanded = [...view.policy.models].sort((left, right) => right.demand - left.demand)[0];
    while (mostDemanded !== undefined && tryStartGroup(draft, view, mostDemanded, reserve, now)) {
        continue;
    }
}

/** Sorts models by shortfall: those below their floor first, then by the covered part of their demand. */
function sortByShortfall(draft: PlacementDraft, view: PlacementView): readonly PlacementModel[] {
    const coverage = (model: PlacementModel): number => {
        const { floor, demand } = view.share(model.model);
        const groups = countGroups(draft, model);
        return groups < floor ? groups / floor - 1 : groups / Math.max(1, demand);
    };
    return [...view.policy.models].sort((left, right) => coverage(left) - coverage(right));
}

function countGroups(draft: PlacementDraft, model: PlacementModel): number {
    return draft.groups.filter(group => group.model.model === model.model && group.state !== "draining")
        .length;
}

function hasOtherVersion(draft: PlacementDraft, model: PlacementModel): boolean {
    return draft.groups.some(
        group => group.model.model === model.model && group.model.version !== model.version,
    );
}

/** Creates a group if enough free spares remain above `reserve`, preferring warm ones; returns whether it did. */
function tryStartGroup(
    draft: PlacementDraft,
    view: PlacementView,
    model: PlacementModel,
    reserve: number,
    now: number,
): boolean {
    const version: ModelVersion = { model: model.model, version: model.version };
    const free = freeSpares(draft, view, version, now);
    if (free.length < model.instancesPerReplica + reserve) {
        return false;
    }
    draft.startGroup(version, free.slice(0, model.instancesPerReplica));
    return true;
}

function drainVoluntarily(draft: PlacementDraft, view: PlacementView, now: number): void {
    const gate = {
        healthOf: view.healthOf,
        isLeaving: (instance: InstanceId) => view.instances.get(instance)?.state === "leaving",
    };
    const group = chooseGroupToDrain({
        groups: draft.groups,
        models: view.policy.models,
        share: view.share,
        isOpen: each => checkServingGate(each, gate, now).open,
        running: each => reportOf(view, each.members[0] ?? "", now)?.load.running ?? 0,
        hasSparesFor: model => freeSpares(draft, view, model, now).length >= model.instancesPerReplica,
    });
    if (group !== undefined) {
        draft.moveGroup(group.id, "draining");
    }
}
