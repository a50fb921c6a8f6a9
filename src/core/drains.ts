/**
 * Chooses which replica group to drain when demand shifts or a model version changes. A draining group accepts no new
 * work and finishes its streams; its members are released only after that, by the placement orders.
 */
import type { PlacementModel } from "./placement-policy.js";
import type { PlacedGroup } from "./fabric-placement.js";

/** State of the groups of one fabric domain. */
export interface FabricDomainState {
    readonly groups: readonly PlacedGroup[];
    readonly models: readonly PlacementModel[];
    /** Returns how many groups of a model this fabric domain should hold. */
    readonly share: (model: string) => { readonly floor: number; readonly demand: number };
    /** Returns true if the group accepts new work. */
    readonly isOpen: (group: PlacedGroup) => boolean;
    /** Returns the number of requests that the group runs. */
    readonly running: (group: PlacedGroup) => number;
    /** Returns true if the free spares suffice for one more group of the model. */
    readonly hasSparesFor: (model: PlacementModel) => boolean;
}

/**
 * Returns the group to drain next; undefined if there is none, or while any group is draining. No configured model goes
 * below its floor of open groups.
 */
export function chooseGroupToDrain(state: FabricDomainState): PlacedGroup | undefined {
    if (state.groups.some(group => group.state === "draining")) {
        return undefined;
    }
    return chooseUnconfigured(state) ?? chooseSurplus(state) ?? chooseOldVersion(state);
}

/** Returns a group of a model that is no longer configured. */
function chooseUnconfigured(state: FabricDomainState): PlacedGroup | undefined {
    const known = new Set(state.models.map(model => model.model));
    return leastLoaded(
        state,
        state.groups.filter(group => !known.has(group.model.model)),
    );
}

/** Returns a group in excess of its model's demand, if another model lacks both a group and the spares for one. */
function chooseSurplus(state: FabricDomainState): PlacedGroup | undefined {
    const isLacking = state.models.some(
        model =>
            groupsOf(state, model).length < state.share(model.model).demand && !state.hasSparesFor(model),
    );
    if (!isLacking) {
        return undefined;
    }
    const surplus = state.models.filter(
        model => groupsOf(state, model).length > state.share(model.model).demand,
    );
    return leastLoaded(
        state,
        surplus.flatMap(model => groupsOf(state, model)),
    );
}

/**
 * Returns a group of an old version, once its model has more open groups than its demand or, if no spares are left for
 * a group of the new version, more open groups than its floor.
 */
function chooseOldVersion(state: FabricDomainState): PlacedGroup | undefined {
    for (const model of state.models) {
        const groups = groupsOf(state, model);
        const old = groups.filter(group => group.model.version !== model.version);
        const isRolling = groups.some(group => group.state !== "serving");
        const { floor, demand } = state.share(model.model);
        const open = groups.filter(state.isOpen).length;
        const isCovered = groups.length > demand;
        const isAllowed = isCovered ? open > demand : !state.hasSparesFor(model) && open > floor;
        if (old.length > 0 && !isRolling && isAllowed) {
            return leastLoaded(state, old);
        }
    }
    return undefined;
}

function groupsOf(state: FabricDomainState, model: PlacementModel): readonly PlacedGroup[] {
    return state.groups.filter(group => group.model.model === model.model && group.state !== "draining");
}

function leastLoaded(state: FabricDomainState, groups: readonly PlacedGroup[]): PlacedGroup | undefined {
    const load = (group: PlacedGroup): number => state.running(group) + (state.isOpen(group) ? 1 : 0);
    return [...groups].sort((left, right) => load(left) - load(right))[0];
}
