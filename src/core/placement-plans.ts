/** The next value of a fabric domain's placement: every change that the placer's present knowledge allows. */
import { chooseDrain } from "./drains.js";
import type { InstanceId } from "./instances.js";
import { PlacementDraft } from "./placement-drafts.js";
import { startLoads } from "./placement-loads.js";
import type { PlacementModel } from "./placement-policies.js";
import { settleMilliseconds } from "./placement-policies.js";
import { planRepairs, replaceLoadingMembers } from "./placement-repairs.js";
import type { FabricPlacement, PlacedGroup } from "./placement-values.js";
import { freeSpares } from "./placement-spares.js";
import type { PlacementView } from "./placement-views.js";
import { assessMember, isFree, reportOf } from "./placement-views.js";
import type { ModelVersion } from "./replica-groups.js";
import type { DecideRepair } from "./repairs.js";
import { reserveSpares } from "./repairs.js";
import { checkServingGate } from "./serving-gates.js";

/** Decisions that experiments exchange. */
export interface PlanOptions {
    readonly decideRepair: DecideRepair;
}

/** Returns the placement after all changes that are due, or undefined if there is none. */
export function planPlacement(
    placement: FabricPlacement,
    view: PlacementView,
    options: PlanOptions,
    nonce: string,
    now: number,
): FabricPlacement | undefined {
    const draft = PlacementDraft.create(placement);
    coverReportedEpochs(draft, view, now);
    finishDrains(draft, view, now);
    updateSpares(draft, view, now);
    startServing(draft, view, now);
    drainLeaving(draft, view, now);
    planRepairs(draft, view, options.decideRepair, now);
    replaceLoadingMembers(draft, view, now);
    startGroups(draft, view, now);
    drainByChoice(draft, view, now);
    startLoads(draft, view, now);
    return draft.finish(nonce);
}

/** An engine with a higher epoch than the counter, after a lost value, would refuse every order. */
function coverReportedEpochs(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const instance of view.instances.keys()) {
        draft.raiseEpochTo(reportOf(view, instance, now)?.epoch ?? 0);
    }
}

/** Removes groups whose members have all been released or cannot be reached. */
function finishDrains(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const group of draft.groups) {
        const isOver = group.members.every(
            member => reportOf(view, member, now) === undefined || isFreeOrLeaving(view, member, now),
        );
        if (group.state === "draining" && isOver) {
            draft.dissolveGroup(group.id, member => isFree(view, member, now));
        }
    }
}

function isFreeOrLeaving(view: PlacementView, instance: InstanceId, now: number): boolean {
    const report = reportOf(view, instance, now);
    return report?.group === undefined && !view.hasUnsettledOrder(instance);
}

/** Takes instances that were read back as idle, and drops those that are gone or leave. */
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

/** A group serves once every member holds its part and no earlier group of a member can still be given work. */
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
    const since = view.seenInGroupSince(instance);
    if (report === undefined || since === undefined || view.hasUnsettledOrder(instance)) {
        return false;
    }
    const isLoaded =
        report.group === group.id && report.epoch === group.loadEpoch && report.state === "ready";
    const isSettled = now >= since + settleMilliseconds(view.policy);
    return isLoaded && isSettled && assessMember(view, group, instance, now) === "good";
}

/** A complete group with a leaving member finishes its streams and takes no new work. */
function drainLeaving(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const group of draft.groups.filter(each => each.state !== "draining")) {
        if (group.members.some(member => assessMember(view, group, member, now) === "leaving")) {
            draft.moveGroup(group.id, "draining");
        }
    }
}

/** Creates the groups that the demand lacks, and groups above the demand out of spares that need not be kept. */
function startGroups(draft: PlacementDraft, view: PlacementView, now: number): void {
    for (const model of byLack(draft, view)) {
        const { demand } = view.share(model.model);
        while (countGroups(draft, model) < demand && startGroup(draft, view, model, 0, now)) {
            continue;
        }
    }
    const reserve = reserveSpares(view.instances.size, view.policy);
    for (const model of view.policy.models) {
        if (isRolling(draft, model) && countGroups(draft, model) <= view.share(model.model).demand) {
            startGroup(draft, view, model, 0, now);
        }
    }
    const main = [...view.policy.models].sort((left, right) => right.demand - left.demand)[0];
    while (main !== undefined && startGroup(draft, view, main, reserve, now)) {
        continue;
    }
}

/** Models with the lowest share of their floor, and then of their demand, first. */
function byLack(draft: PlacementDraft, view: PlacementView): readonly PlacementModel[] {
    const lack = (model: PlacementModel): number => {
        const { floor, demand } = view.share(model.model);
        const groups = countGroups(draft, model);
        return groups < floor ? groups / floor - 1 : groups / Math.max(1, demand);
    };
    return [...view.policy.models].sort((left, right) => lack(left) - lack(right));
}

function countGroups(draft: PlacementDraft, model: PlacementModel): number {
    return draft.groups.filter(group => group.model.model === model.model && group.state !== "draining")
        .length;
}

function isRolling(draft: PlacementDraft, model: PlacementModel): boolean {
    return draft.groups.some(
        group => group.model.model === model.model && group.model.version !== model.version,
    );
}

/** Creates one group if enough free spares are left over `reserve`; warm ones go first. */
function startGroup(
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

function drainByChoice(draft: PlacementDraft, view: PlacementView, now: number): void {
    const gate = {
        healthOf: view.healthOf,
        isLeaving: (instance: InstanceId) => view.instances.get(instance)?.state === "leaving",
    };
    const group = chooseDrain({
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
