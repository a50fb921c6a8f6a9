/**
 * Chooses the replica groups of a fabric domain and their members. Because instances are lost one after the other, some
 * instances stay free with staged weights, so that repairing a broken group takes a warm join instead of a load from the
 * weight store.
 */
import type { EngineModel } from "../engine-model.js";
import type { ModelSupply } from "./model-demand-tracker.js";

/** Fraction of a fabric domain's instances that stays free for repairs. */
const reservedFraction = 0.15;
/** Free fraction while some model is short of groups: a group that serves now is worth more than a later repair. */
const scarceReservedFraction = 0.05;
/** Fraction of a model's groups in use above which it is short of groups: work is uneven over groups and over time. */
const scarceUtilization = 0.6;
/** Groups per group in use, plus one, that a model keeps when it yields: a failure domain may be lost. */
const ampleGroupRatio = 1.5;
/** Maximum utilization of a model that yields, as a fraction of the utilization of the model that is short. */
const yieldingUtilizationRatio = 0.6;
/**
 * Maximum members that load weights while they join. If more lack the weights, spares are staged first, so that the other
 * members stay free meanwhile.
 */
const maximumFormingLoads = 1;
/** Weight of a model's configured share relative to the observed work; the share decides only before traffic starts. */
const configuredShareWeight = 0.01;

/** Maximum lost members of a group that is repaired while another model is short for long; instances are lost in pairs. */
const maximumLostMembers = 2;

/** A free instance that could join a group. */
export interface Candidate {
    readonly id: string;
    /** Model of the last group that the instance was in. */
    readonly lastModel: string | undefined;
    readonly staged: readonly string[];
    /** True while its host loads weights, so that it cannot load others. */
    readonly isBusy: boolean;
}

/** One group to form. */
export interface GroupChoice {
    readonly model: EngineModel;
    readonly members: readonly string[];
    /** Loads from the weight store that the formation begins. */
    readonly loads: number;
}

/** State of one fabric domain from which the next group is chosen. */
export interface DomainState {
    readonly models: readonly EngineModel[];
    /** Number of instances that can serve, in any state. */
    readonly instances: number;
    /** Recent peak of `instances`; lost groups that were planned for it are formed again from the remaining instances. */
    readonly recentInstances: number;
    /** Groups that serve or are being formed, by model. */
    readonly groups: ReadonlyMap<string, number>;
    readonly free: readonly Candidate[];
    /** Number of members of ended groups that will be free soon, by the model whose weights they hold. */
    readonly freeSoon: ReadonlyMap<string, number>;
    /** True while instances are still appearing, so that a better choice may soon be possible. */
    readonly isSettling: boolean;
    /** True if any number of members may load weights while they join; otherwise only one may. */
    readonly mayLoad: boolean;
    /** Supply by model over all fabric domains, this one included. */
    readonly supplies: ReadonlyMap<string, ModelSupply>;
    /** Free instances whose hosts are loading weights, by model. */
    readonly loading?: ReadonlyMap<string, number>;
    /** Models of which the fabric domain gets no group for now, because it converts one into groups of another model. */
    readonly retiredModels?: ReadonlySet<string>;
}

/** State of one fabric domain from which the next staging is chosen. */
export interface StagingState {
    readonly models: readonly EngineModel[];
    /** Number of instances that can serve, in any state: the fewer there are, the more spares hold the larger model. */
    readonly instances: number;
    /** Number of instances in groups, by the model of the group. */
    readonly members: ReadonlyMap<string, number>;
    /** Free instances; weights that are being loaded count as staged. */
    readonly spares: readonly Candidate[];
    /** Members of serving groups that are to be converted; they stage weights while they serve. */
    readonly converting?: readonly Candidate[];
    /** Supply by model over all fabric domains, this one included. */
    readonly supplies: ReadonlyMap<string, ModelSupply>;
}

/** Rank of a join by cost: 0 for the last model, 1 for a warm join, 2 for a load, 3 for a load that replaces weights. */
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

/** Returns the next group that the fabric domain should form, or undefined if no further group is possible or useful now. */
export function chooseGroup(state: DomainState): GroupChoice | undefined {
    const scarce = scarceModels(state).filter(model => !isRetired(model, state));
    const isMissing = (model: EngineModel): boolean =>
        (state.groups.get(model.name) ?? 0) === 0 && !isRetired(model, state);
    const needed = chooseForShortage(state, scarce);
    if (needed !== undefined) {
        return needed;
    }
    for (const model of bySizeDescending(state.models.filter(isMissing))) {
        const choice = chooseMembers(model, state.free);
        // Weights that are in place serve at once, so only groups that need loads depend on demand.
        const isUseful = choice !== undefined && (choice.loads === 0 || scarce.includes(model));
        if (isUseful && !shouldDefer(choice, state)) {
            return choice;
        }
    }
    return chooseExtraGroup(state, scarce, scarce.filter(isMissing));
}

function isRetired(model: EngineModel, { retiredModels }: DomainState): boolean {
    return retiredModels?.has(model.name) === true;
}

/**
 * Chooses a group of a persistently short model that needs no load. It goes before the first group of a model that has more
 * groups than it needs elsewhere: members of a group that is being converted could at once form the same group again.
 */
function chooseForShortage(
    { models, supplies, free }: DomainState,
    scarce: readonly EngineModel[],
): GroupChoice | undefined {
    if (models.every(model => scarce.includes(model))) {
        return undefined;
    }
    return byScarcity(shortModels(scarce, supplies), supplies)
        .flatMap(model => chooseMembers(model, free) ?? [])
        .find(choice => choice.loads === 0);
}

/** Returns the models that refuse work for longer than a crest of their demand. */
function shortModels(
    models: readonly EngineModel[],
    supplies: ReadonlyMap<string, ModelSupply>,
): readonly EngineModel[] {
    return models.filter(model => supplies.get(model.name)?.isPersistentlyShort === true);
}

/** True if a choice should be deferred: instances that hold the weights become free sooner than a load takes. */
function shouldDefer(choice: GroupChoice, state: DomainState): boolean {
    const { model } = choice;
    const isShort = shortModels([model], state.supplies).length > 0;
    const isLoading = isShort && (state.loading?.get(model.name) ?? 0) >= choice.loads;
    const isBetterSoon = state.isSettling || isLoading || (state.freeSoon.get(model.name) ?? 0) > 0;
    const isSlow = choice.loads > maximumFormingLoads && !state.mayLoad;
    return choice.loads > 0 && (isBetterSoon || isSlow);
}

/**
 * Chooses a further group of the scarcest model from instances that neither repairs nor the missing models need.
 * Survivors of a lost group may be completed with the spares that are reserved for repairs.
 */
function chooseExtraGroup(
    state: DomainState,
    scarce: readonly EngineModel[],
    missing: readonly EngineModel[],
): GroupChoice | undefined {
    const { free, supplies } = state;
    const reserve = reserveOf(state);
    const missingSize = missing.reduce((sum, model) => sum + model.size, 0);
    const choices = byScarcity(scarce, supplies)
        .flatMap(model => chooseMembers(model, free) ?? [])
        .filter(choice => {
            const remaining = free.length - choice.members.length - missingSize;
            return remaining >= reserve || (remaining >= 0 && isRepair(choice, state));
        });
    return choices.find(choice => !shouldDefer(choice, state));
}

/**
 * True if the choice replaces a lost group without a load and at least half of its members served the model before.
 * Spares that hold other weights stay reserved for the groups that they can repair.
 */
function isRepair({ model, members, loads }: GroupChoice, state: DomainState): boolean {
    if (loads > 0) {
        return false;
    }
    const { models, recentInstances, supplies, groups, free } = state;
    const planned = planTarget({ models, instances: recentInstances, supplies }).groups;
    if ((groups.get(model.name) ?? 0) >= (planned.get(model.name) ?? 0)) {
        return false;
    }
    const survivors = free.filter(({ id, lastModel }) => lastModel === model.name && members.includes(id));
    return 2 * survivors.length >= model.size;
}

/** Returns the free instance that should load weights next and their model; undefined if no load is needed. */
export function chooseStaging(
    state: StagingState,
): { readonly id: string; readonly model: EngineModel } | undefined {
    const repairable = repairableModels(state);
    const forShortage = repairable.length > 0 ? undefined : chooseStagingForShortage(state);
    if (forShortage !== undefined) {
        return forShortage;
    }
    const { spares } = state;
    const surplusByModel = new Map(state.members);
    for (const spare of spares) {
        const name = heldModel(spare) ?? "";
        surplusByModel.set(name, (surplusByModel.get(name) ?? 0) + 1);
    }
    const isUnmet = (model: EngineModel): boolean => {
        const count = surplusByModel.get(model.name) ?? 0;
        surplusByModel.set(model.name, count - 1);
        return count <= 0;
    };
    const target = planTarget(state, repairable);
    const unmetNeeds = target.needed.filter(isUnmet);
    const unmetRest = target.further.filter(isUnmet);
    const ready = spares.filter(spare => !spare.isBusy);
    const empty = ready.find(spare => heldModel(spare) === undefined);
    const surplus = ready.find(spare => (surplusByModel.get(heldModel(spare) ?? "") ?? 0) > 0);
    const model = unmetNeeds[0] ?? unmetRest[0];
    // Staged weights are replaced only by weights that a repair needs.
    const spare = empty ?? (unmetNeeds.length > 0 ? surplus : undefined);
    return spare === undefined || model === undefined ? undefined : { id: spare.id, model };
}

/**
 * Returns the models that yield nothing to a persistently short one and of whose lost group nearly all members are left with
 * their weights.
 */
function repairableModels(state: StagingState): readonly EngineModel[] {
    const { models, supplies, members, spares } = state;
    if (shortModels(models, supplies).length === 0) {
        return [];
    }
    return scarceModels(state).filter(model => {
        const isLost = (members.get(model.name) ?? 0) < model.size;
        const left = spares.filter(spare => heldModel(spare) === model.name).length;
        const isMostLeft = 2 * left >= model.size && left >= model.size - maximumLostMembers;
        return isLost && isMostLeft && shortModels([model], supplies).length === 0;
    });
}

/** Spares for the groups of a persistently short model. */
interface ShortageTarget {
    readonly model: EngineModel;
    readonly candidates: readonly Candidate[];
    /** Number of candidates that hold the weights of the model. */
    readonly holders: number;
    /** Number of candidates that whole groups of the model can be formed of. */
    readonly members: number;
}

function shortageTarget({
    models,
    supplies,
    spares,
    converting = [],
}: StagingState): ShortageTarget | undefined {
    const candidates = [...spares, ...converting];
    const model = byScarcity(shortModels(models, supplies), supplies).find(
        ({ size }) => size <= candidates.length,
    );
    return (
        model && {
            model,
            candidates,
            holders: candidates.filter(candidate => holds(candidate, model)).length,
            members: Math.floor(candidates.length / model.size) * model.size,
        }
    );
}

/**
 * Returns the number of loads until a further group of a persistently short model can be formed; infinite if no further one can.
 * Loads are few, so the fabric domain that needs the fewest should get them first.
 */
export function loadsToNextGroup(state: StagingState): number {
    const target = shortageTarget(state);
    return target === undefined || target.holders >= target.members
        ? Number.POSITIVE_INFINITY
        : target.model.size - (target.holders % target.model.size);
}

/**
 * Chooses a load that brings a further group of a persistently short model closer. Spares that hold the weights of other models
 * are reloaded only if that yields a whole group, or to replace the members that its groups lose next; one spare is kept for
 * groups of other models, all of whose members would be idle without it.
 */
function chooseStagingForShortage(
    state: StagingState,
): { readonly id: string; readonly model: EngineModel } | undefined {
    const target = shortageTarget(state) ?? repairTarget(state);
    if (target === undefined) {
        return undefined;
    }
    const { model, candidates, holders, members } = target;
    const { converting = [], models, supplies } = state;
    const short = shortModels(models, supplies);
    const isReplaceable = (candidate: Candidate): boolean =>
        !candidate.isBusy &&
        !holds(candidate, model) &&
        (converting.includes(candidate) || !short.some(each => holds(candidate, each)));
    const ready = candidates.filter(isReplaceable);
    const chosen = ready.find(candidate => heldModel(candidate) === undefined) ?? ready[0];
    const isKept = (other: EngineModel): boolean =>
        other !== model && (state.members.get(other.name) ?? 0) >= other.size;
    const kept = models.some(other => isKept(other) && state.spares.some(spare => holds(spare, other)))
        ? 1
        : 0;
    const repairs = Math.max(0, Math.min(candidates.length - members - kept, maximumLostMembers));
    return chosen === undefined || holders >= members + repairs ? undefined : { id: chosen.id, model };
}

/** Spares that can only replace lost members of a short model's groups. */
function repairTarget({ models, supplies, spares, members }: StagingState): ShortageTarget | undefined {
    const model = byScarcity(shortModels(models, supplies), supplies).find(
        ({ name, size }) => (members.get(name) ?? 0) >= size,
    );
    return (
        model && {
            model,
            candidates: spares,
            holders: spares.filter(spare => holds(spare, model)).length,
            members: 0,
        }
    );
}

/** True if an instance joins a group of the model without a load. */
function holds(candidate: Candidate, model: EngineModel): boolean {
    return joinCost(candidate, model) < 2;
}

/** Models whose weights the instances of a domain should hold, one per instance, the most urgent first. */
interface DomainTarget {
    /** One group of each model, and the spares that repair them. */
    readonly needed: readonly EngineModel[];
    /** Further groups, and the remaining spares. */
    readonly further: readonly EngineModel[];
    /** Number of groups by model. */
    readonly groups: ReadonlyMap<string, number>;
}

/**
 * Allocates a first group of each model, then the reserved spares, further groups and the remaining spares. The larger a
 * group, the more likely it loses a member next: the first spare holds the largest model, the second one the next.
 */
function planTarget(
    state: Pick<StagingState, "models" | "instances" | "supplies">,
    repairable: readonly EngineModel[] = [],
): DomainTarget {
    const { models, instances } = state;
    const bySize = bySizeDescending(models);
    const scarce = scarceModels(state);
    const supplies = new Map(state.supplies);
    const allocated: EngineModel[] = [];
    const groups = new Map<string, number>();
    const spares: EngineModel[] = [];
    const free = (): number => instances - allocated.length;
    const addGroup = (model: EngineModel): void => {
        allocated.push(...Array.from({ length: model.size }, () => model));
        groups.set(model.name, (groups.get(model.name) ?? 0) + 1);
    };
    // While a model is short for long, spares prepare its next group instead of repairs.
    const short = byScarcity(shortModels(models, supplies), supplies);
    const spareModels = short.length > 0 ? short : bySize;
    const addSpares = (count: number): void => {
        for (let index = 0; index < count && spareModels.length > 0; index += 1) {
            const model = spareModels[spares.length % spareModels.length]!;
            allocated.push(model);
            spares.push(model);
        }
    };
    // While a model is short for long, no other one gets a first group here that only loads would make possible.
    const first = short.length === 0 ? scarce : [...repairable, ...short];
    bySizeDescending(first).forEach(model => model.size <= free() && addGroup(model));
    addSpares(Math.min(reserveOf(state), free()));
    const needed = allocated.length;
    for (;;) {
        const model = byScarcity(scarce, supplies).find(each => each.size <= free());
        if (model === undefined) {
            break;
        }
        const supply = supplies.get(model.name) ?? noSupply;
        supplies.set(model.name, { ...supply, groups: supply.groups + 1 });
        addGroup(model);
    }
    const next = short.length > 0 ? [] : spareGroup(byScarcity(scarce, supplies), spares, free());
    allocated.push(...next);
    addSpares(free());
    return { needed: allocated.slice(0, needed), further: allocated.slice(needed), groups };
}

/**
 * Returns the models of further spares that make up one group of the scarcest model together with the present spares; none if
 * there are too few. When that model becomes short, the group is formed without loads.
 */
function spareGroup(
    scarce: readonly EngineModel[],
    spares: readonly EngineModel[],
    free: number,
): readonly EngineModel[] {
    const [model] = scarce;
    if (model === undefined) {
        return [];
    }
    const missing = Math.max(0, model.size - spares.filter(each => each === model).length);
    return missing <= free ? Array.from({ length: missing }, () => model) : [];
}

/** Returns the model whose weights an instance holds, on its host or in memory. */
function heldModel({ staged, lastModel }: Candidate): string | undefined {
    return staged[0] ?? lastModel;
}

function reserveOf({
    models,
    instances,
    supplies,
}: Pick<StagingState, "models" | "instances" | "supplies">): number {
    if (shortModels(models, supplies).length > 0) {
        return 0;
    }
    const isAnyShort = models.some(model => isShortOfGroups(model, supplies));
    return Math.ceil(instances * (isAnyShort ? scarceReservedFraction : reservedFraction));
}

/** True if a model has too few groups for its present work. */
function isShortOfGroups(model: EngineModel, supplies: ReadonlyMap<string, ModelSupply>): boolean {
    const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
    return groupsInUse > scarceUtilization * groups;
}

/** Returns the models that may need groups: all except those with ample groups while another model is short. */
function scarceModels({
    models,
    supplies,
}: Pick<StagingState, "models" | "supplies">): readonly EngineModel[] {
    return models.filter(model => {
        const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
        const isNeededMore = (other: EngineModel): boolean =>
            isShortOfGroups(other, supplies) &&
            utilizationOf(model, supplies) <= yieldingUtilizationRatio * utilizationOf(other, supplies);
        const yields = models.some(other => other !== model && isNeededMore(other));
        return !yields || groups < ampleGroupRatio * groupsInUse + 1;
    });
}

/** Returns the fraction of a model's groups that its present work takes. */
function utilizationOf(model: EngineModel, supplies: ReadonlyMap<string, ModelSupply>): number {
    const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
    return groupsInUse / Math.max(1, groups);
}

const noSupply: ModelSupply = { groups: 0, groupsInUse: 0 };

function bySizeDescending(models: readonly EngineModel[]): readonly EngineModel[] {
    return [...models].sort((left, right) => right.size - left.size);
}

/** Sorts models by the ratio of their groups to their work, the scarcest first. */
function byScarcity(
    models: readonly EngineModel[],
    supplies: ReadonlyMap<string, ModelSupply>,
): readonly EngineModel[] {
    const groupsPerDemand = (model: EngineModel): number => {
        const { groups, groupsInUse } = supplies.get(model.name) ?? noSupply;
        return groups / (groupsInUse + (configuredShareWeight * model.share) / model.size);
    };
    return [...models].sort((left, right) => groupsPerDemand(left) - groupsPerDemand(right));
}
