/**
 * Draining by choice: which group to move next when the demand shifts or a version changes. A group that is drained
 * takes no new work and finishes its streams; members are released only then (placement-orders.ts).
 */
import type { PlacementModel } from "./placement-policies.js";
import type { PlacedGroup } from "./placement-values.js";

/** What is known of the groups of one fabric domain. */
export interface DrainSituation {
    readonly groups: readonly PlacedGroup[];
    readonly models: readonly PlacementModel[];
    /** Groups of a model that this fabric domain should hold. */
    readonly share: (model: string) => { readonly floor: number; readonly demand: number };
    /** True if the group takes new work now. */
    readonly isOpen: (group: PlacedGroup) => boolean;
    /** Requests that the group runs. */
    readonly running: (group: PlacedGroup) => number;
    /** True if free spares suffice for one more group of the model. */
    readonly hasSparesFor: (model: PlacementModel) => boolean;
}

/**
 * Returns the one group to drain next, or undefined. No two groups are drained by choice at the same time, and no model
 * goes below its floor of open groups.
 */
export function chooseDrain(situation: DrainSituation): PlacedGroup | undefined {
    if (situation.groups.some(group => group.state === "draining")) {
        return undefined;
    }
    return chooseUnknown(situation) ?? chooseSurplus(situation) ?? chooseOldVersion(situation);
}

/** A group of a model that is no longer configured. */
function chooseUnknown(situation: DrainSituation): PlacedGroup | undefined {
    const known = new Set(situation.models.map(model => model.model));
    return leastLoaded(
        situation,
        situation.groups.filter(group => !known.has(group.model.model)),
    );
}

/** A group above the demand of its model, when another model lacks a group and the spares for it. */
function chooseSurplus(situation: DrainSituation): PlacedGroup | undefined {
    const isLacking = situation.models.some(
        model =>
            groupsOf(situation, model).length < situation.share(model.model).demand &&
            !situation.hasSparesFor(model),
    );
    if (!isLacking) {
        return undefined;
    }
    const surplus = situation.models.filter(
        model => groupsOf(situation, model).length > situation.share(model.model).demand,
    );
    return leastLoaded(
        situation,
        surplus.flatMap(model => groupsOf(situation, model)),
    );
}

/** A group of an old version, once a group of the new version can take over or the floor allows a gap. */
function chooseOldVersion(situation: DrainSituation): PlacedGroup | undefined {
    for (const model of situation.models) {
        const groups = groupsOf(situation, model);
        const old = groups.filter(group => group.model.version !== model.version);
        const isRolling = groups.some(group => group.state !== "serving");
        const { floor, demand } = situation.share(model.model);
        const open = groups.filter(situation.isOpen).length;
        const isCovered = groups.length > demand;
        const isAllowed = isCovered ? open > demand : !situation.hasSparesFor(model) && open > floor;
        if (old.length > 0 && !isRolling && isAllowed) {
            return leastLoaded(situation, old);
        }
    }
    return undefined;
}

function groupsOf(situation: DrainSituation, model: PlacementModel): readonly PlacedGroup[] {
    return situation.groups.filter(group => group.model.model === model.model && group.state !== "draining");
}

function leastLoaded(situation: DrainSituation, groups: readonly PlacedGroup[]): PlacedGroup | undefined {
    const load = (group: PlacedGroup): number => situation.running(group) + (situation.isOpen(group) ? 1 : 0);
    return [...groups].sort((left, right) => load(left) - load(right))[0];
}
