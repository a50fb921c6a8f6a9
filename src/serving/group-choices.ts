/**
 * Which replica groups a fabric domain should have, and of which instances. Answers the load of instances that are lost
 * one after the other: some instances stay free, with weights staged, so that a broken group is whole again in the time
 * of a warm join instead of a load from the weight store.
 */
import type { EngineModel } from "./engine-models.js";
import type { ModelSupply } from "./model-demands.js";

/** Part of a fabric domain's instances that stays free for repairs. */
const reservedPart = 0.15;
/** The same while some model is short of groups: one that serves now is worth more than a repair later. */
const pressedReservedPart = 0.05;
/** Part of a model's groups in use from which on it is short of groups: work is uneven over groups and time. */
const pressedPart = 0.6;
/** Groups per group in use, and one more, from which on a model gives way to one that is short: a failure domain may be lost. */
const amplePart = 1.5;
/** Use of a model's groups, as a part of the use of one that is short, up to which it gives way to that one. */
const easyPart = 0.6;
/** Members of a new group that may load weights while they join; more are staged first, so that others stay free. */
const mostFormingLoads = 1;
/** Weight of the stated share of the work beside the work that is seen; it decides before traffic starts. */
const statedWeight = 0.01;

/** A free instance that could join a group. */
export interface Candidate {
    readonly id: string;
    /** Model of the group that it was in last. */
    readonly lastModel: string | undefined;
    readonly staged: readonly string[];
    /** True while its host loads weights, so that it cannot load others. */
    readonly isBusy: boolean;
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
    /** The most that there were lately; the groups that they had are formed again from what is left. */
    readonly recentInstances: number;
    /** Groups that serve or are being formed, by model. */
    readonly groups: ReadonlyMap<string, number>;
    readonly free: readonly Candidate[];
    /** Members of ended groups that will be free soon, by the model that they hold. */
    readonly freeSoon: ReadonlyMap<string, number>;
    /** True while instances are appearing, so that a better choice may be possible in a moment. */
    readonly isSettling: boolean;
    /** True if any number of members may load weights while they join; otherwise one may. */
    readonly mayLoad: boolean;
    /** Supply by model over all fabric domains, this one included. */
    readonly supplies: ReadonlyMap<string, ModelSupply>;
}

/** What a fabric domain holds of one model, as the plan of its stagings sees it. */
export interface StagingSituation {
    readonly models: readonly EngineModel[];
    /** Instances in all states that can serve: the fewer there are, the more of the spares hold the larger model. */
    readonly instances: number;
    /** Instances by the model of the group that they are in. */
    readonly members: ReadonlyMap<string, number>;
    /** Free instances; weights that are being loaded count as staged. */
    readonly spares: readonly Candidate[];
    /** Supply by model over all fabric domains, this one included. */
    readonly supplies: ReadonlyMap<string, ModelSupply>;
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

/** Returns the next group that the fabric domain should form, or undefined if it has what it can have now. */
export function chooseGroup(situation: DomainSituation): GroupChoice | undefined {
    const scarce = scarceModels(situation);
    const isMissing = (model: EngineModel): boolean => (situation.groups.get(model.name) ?? 0) === 0;
    for (const model of bySizeDescending(situation.models.filter(isMissing))) {
        const choice = chooseMembers(model, situation.free);
        // Weights that are in place serve at once, whatever the demand; only loads follow it.
        const isWanted = choice !== undefined && (choice.loads === 0 || scarce.includes(model));
        if (isWanted && !shouldWait(choice, situation)) {
            return choice;
        }
    }
    return chooseExtraGroup(situation, scarce, scarce.filter(isMissing));
}

/** A load takes longer than it takes until instances that hold the weights are there and free. */
function shouldWait(choice: GroupChoice, situation: DomainSituation): boolean {
    const isBetterSoon = situation.isSettling || (situation.freeSoon.get(choice.model.name) ?? 0) > 0;
    const isSlow = choice.loads > mostFormingLoads && !situation.mayLoad;
    return choice.loads > 0 && (isBetterSoon || isSlow);
}

/**
 * A further group of the scarcest model, of instances that neither repairs nor the missing models need. Survivors of a
 * lost group take what they lack from the spares that are kept for them.
 */
function chooseExtraGroup(
    situation: DomainSituation,
    scarce: readonly EngineModel[],
    missing: readonly EngineModel[],
): GroupChoice | undefined {
    const { free, supplies } = situation;
    const reserve = reserveOf(situation);
    const missingSize = missing.reduce((sum, model) => sum + model.size, 0);
    const choices = byScarcity(scarce, supplies)
        .flatMap(model => chooseMembers(model, free) ?? [])
        .filter(choice => {
            const left = free.length - choice.members.length - missingSize;
            return left >= reserve || (left >= 0 && isRepair(choice, situation));
        });
    return choices.find(choice => !shouldWait(choice, situation));
}

/**
 * True if a group that was lost is formed again, of members at least half of which served the model before, without a
 * load: spares that hold other weights stay for the groups that they would repair.
 */
function isRepair({ model, members, loads }: GroupChoice, situation: DomainSituation): boolean {
    if (loads > 0) {
        return false;
    }
    const { models, recentInstances, supplies, groups, free } = situation;
    const planned = wantedUnits({ models, instances: recentInstances, supplies }).groups;
    if ((groups.get(model.name) ?? 0) >= (planned.get(model.name) ?? 0)) {
        return false;
    }
    const survivors = free.filter(({ id, lastModel }) => lastModel === model.name && members.includes(id));
    return 2 * survivors.length >= model.size;
}

/** Returns which free instance should load which model next; undefined if the domain holds what it should. */
export function chooseStaging(
    situation: StagingSituation,
): { readonly id: string; readonly model: EngineModel } | undefined {
    const { spares } = situation;
    const left = new Map(situation.members);
    for (const spare of spares) {
        const name = heldModel(spare) ?? "";
        left.set(name, (left.get(name) ?? 0) + 1);
    }
    const isUnmet = (model: EngineModel): boolean => {
        const count = left.get(model.name) ?? 0;
        left.set(model.name, count - 1);
        return count <= 0;
    };
    const wanted = wantedUnits(situation);
    const unmetNeeds = wanted.needed.filter(isUnmet);
    const unmetRest = wanted.further.filter(isUnmet);
    const ready = spares.filter(spare => !spare.isBusy);
    const empty = ready.find(spare => heldModel(spare) === undefined);
    const surplus = ready.find(spare => (left.get(heldModel(spare) ?? "") ?? 0) > 0);
    const model = unmetNeeds[0] ?? unmetRest[0];
    // Weights that a host holds give way only to those that a repair needs.
    const spare = empty ?? (unmetNeeds.length > 0 ? surplus : undefined);
    return spare === undefined || model === undefined ? undefined : { id: spare.id, model };
}

/** Models that the instances of a domain should hold, one for each instance, the most urgent first. */
interface WantedUnits {
    /** A group of each model, and the spares that repair them. */
    readonly needed: readonly EngineModel[];
    /** Further groups, and the spares that are left. */
    readonly further: readonly EngineModel[];
    /** Number of groups by model. */
    readonly groups: ReadonlyMap<string, number>;
}

/**
 * Groups and spares in turn. The larger a group, the more likely it is hit next: a single spare holds the largest model,
 * a second one the next.
 */
function wantedUnits(situation: Pick<StagingSituation, "models" | "instances" | "supplies">): WantedUnits {
    const { models, instances } = situation;
    const bySize = bySizeDescending(models);
    const scarce = scarceModels(situation);
    const supplies = new Map(situation.supplies);
    const units: EngineModel[] = [];
    const groups = new Map<string, number>();
    let spares = 0;
    const free = (): number => instances - units.length;
    const addGroup = (model: EngineModel): void => {
        units.push(...Array.from({ length: model.size }, () => model));
        groups.set(model.name, (groups.get(model.name) ?? 0) + 1);
    };
    const addSpares = (count: number): void => {
        for (let index = 0; index < count && bySize.length > 0; index += 1) {
            units.push(bySize[spares % bySize.length]!);
            spares += 1;
        }
    };
    bySizeDescending(scarce).forEach(model => model.size <= free() && addGroup(model));
    addSpares(Math.min(reserveOf(situation), free()));
    const needed = units.length;
    for (;;) {
        const model = byScarcity(scarce, supplies).find(each => each.size <= free());
        if (model === undefined) {
            break;
        }
        const supply = supplies.get(model.name) ?? noSupply;
        supplies.set(model.name, { ...supply, groups: supply.groups + 1 });
        addGroup(model);
    }
    addSpares(free());
    return { needed: units.slice(0, needed), further: units.slice(needed), groups };
}

/** The model whose weights an instance has, on its host or in its memory. */
function heldModel({ staged, lastModel }: Candidate): string | undefined {
    return staged[0] ?? lastModel;
}

function reserveOf({
    models,
    instances,
    supplies,
}: Pick<StagingSituation, "models" | "instances" | "supplies">): number {
    const isAnyPressed = models.some(model => isPressed(model, supplies));
    return Math.ceil(instances * (isAnyPressed ? pressedReservedPart : reservedPart));
}

/** True if a model's groups are too few for its present work. */
function isPressed(model: EngineModel, supplies: ReadonlyMap<string, ModelSupply>): boolean {
    const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
    return groupsInUse > pressedPart * groups;
}

/** Models of which a domain may need groups: all, but for those that are ample elsewhere while another is short. */
function scarceModels({
    models,
    supplies,
}: Pick<StagingSituation, "models" | "supplies">): readonly EngineModel[] {
    return models.filter(model => {
        const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
        const isNeededMore = (other: EngineModel): boolean =>
            isPressed(other, supplies) && useOf(model, supplies) <= easyPart * useOf(other, supplies);
        const givesWay = models.some(other => other !== model && isNeededMore(other));
        return !givesWay || groups < amplePart * groupsInUse + 1;
    });
}

/** Part of a model's groups that its present work takes. */
function useOf(model: EngineModel, supplies: ReadonlyMap<string, ModelSupply>): number {
    const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
    return groupsInUse / Math.max(1, groups);
}

const noSupply: ModelSupply = { groups: 0, groupsInUse: 0 };

function bySizeDescending(models: readonly EngineModel[]): readonly EngineModel[] {
    return [...models].sort((left, right) => right.size - left.size);
}

/** Models by the groups that there are for their work, the scarcest first. */
function byScarcity(
    models: readonly EngineModel[],
    supplies: ReadonlyMap<string, ModelSupply>,
): readonly EngineModel[] {
    const plenty = (model: EngineModel): number => {
        const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
        return groups / (groupsInUse + (statedWeight * model.share) / model.size);
    };
    return [...models].sort((left, right) => plenty(left) - plenty(right));
}
