/**
 * Which replica groups a fabric domain should have, and of which instances. Answers the load of instances that are lost
 * one after the other: some instances stay free, with weights staged, so that a broken group is whole again in the time
 * of a warm join instead of a load from the weight store.
 */
import type { EngineModel } from "./engine-models.js";

/** Part of a fabric domain's instances that stays free for repairs. */
const reservedPart = 0.15;

/** A free instance that could join a group. */
export interface Candidate {
    readonly id: string;
    /** Model of the group that it was in last. */
    readonly lastModel: string | undefined;
    readonly staged: readonly string[];
}

/** One group to form. */
export interface GroupChoice {
    readonly model: EngineModel;
    readonly members: readonly string[];
    /** Loads from the weight store that forming it begins. */
    readonly loads: number;
}

/** One fabric domain as the choice sees it. */
export interface DomainSituation {
    readonly models: readonly EngineModel[];
    /** Instances in all states that can serve. */
    readonly instances: number;
    /** Groups that serve or are being formed, by model. */
    readonly groups: ReadonlyMap<string, number>;
    readonly free: readonly Candidate[];
    /** Members of ended groups that will be free soon, by the model that they hold. */
    readonly freeSoon: ReadonlyMap<string, number>;
    /** True while instances are appearing, so that a better choice may be possible in a moment. */
    readonly isSettling: boolean;
    /** Group count by model over all fabric domains, this one included. */
    readonly groupsOverall: ReadonlyMap<string, number>;
}

/** Joining costs nothing, a warm join, or a load. */
function joinCost(candidate: Candidate, model: EngineModel): number {
    if (candidate.lastModel === model.name) {
        return 0;
    }
    if (candidate.staged.includes(model.name)) {
        return 1;
    }
    return candidate.staged.length === 0 ? 2 : 3;
}

/** Returns the cheapest members for a group of the model; undefined if there are too few. */
export function chooseMembers(model: EngineModel, free: readonly Candidate[]): GroupChoice | undefined {
    if (free.length < model.size) {
        return undefined;
    }
    const byCost = [...free].sort((left, right) => joinCost(left, model) - joinCost(right, model));
    const chosen = byCost.slice(0, model.size);
    const loads = chosen.filter(candidate => joinCost(candidate, model) >= 2).length;
    return { model, members: chosen.map(candidate => candidate.id), loads };
}

/** Returns the next group that the fabric domain should form, or undefined if it has what it should. */
export function chooseGroup(situation: DomainSituation): GroupChoice | undefined {
    const missing = situation.models.filter(model => (situation.groups.get(model.name) ?? 0) === 0);
    const bySize = [...missing].sort((left, right) => right.size - left.size);
    for (const model of bySize) {
        const choice = chooseMembers(model, situation.free);
        if (choice !== undefined && !shouldWait(choice, situation)) {
            return choice;
        }
    }
    return missing.length > 0 ? undefined : chooseExtraGroup(situation);
}

/** A load takes longer than it takes until instances that hold the weights are there and free. */
function shouldWait(choice: GroupChoice, situation: DomainSituation): boolean {
    const isBetterSoon = situation.isSettling || (situation.freeSoon.get(choice.model.name) ?? 0) > 0;
    return choice.loads > 0 && isBetterSoon;
}

function chooseExtraGroup(situation: DomainSituation): GroupChoice | undefined {
    const reserve = Math.ceil(situation.instances * reservedPart);
    const supply = (model: EngineModel): number =>
        (situation.groupsOverall.get(model.name) ?? 0) / (model.share * model.pace);
    const affordable = situation.models.filter(model => situation.free.length - model.size >= reserve);
    const scarcest = [...affordable].sort((left, right) => supply(left) - supply(right))[0];
    return scarcest && chooseMembers(scarcest, situation.free);
}

/**
 * Which free instance should load which model next; undefined if the staged mix is right. The larger a group, the more
 * likely it is hit next: a single spare holds the largest model, a second one the next.
 */
export function chooseStaging(
    models: readonly EngineModel[],
    spares: readonly Candidate[],
): { readonly id: string; readonly model: EngineModel } | undefined {
    const bySize = [...models].sort((left, right) => right.size - left.size);
    const unassigned = [...spares];
    const unmet: EngineModel[] = [];
    for (let index = 0; index < spares.length && bySize.length > 0; index += 1) {
        const model = bySize[index % bySize.length]!;
        const holder = unassigned.findIndex(spare => spare.staged.includes(model.name));
        if (holder === -1) {
            unmet.push(model);
        } else {
            unassigned.splice(holder, 1);
        }
    }
    const next = unassigned.find(spare => spare.staged.length === 0) ?? unassigned[0];
    return next === undefined || unmet[0] === undefined ? undefined : { id: next.id, model: unmet[0] };
}
