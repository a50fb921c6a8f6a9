/** What one entry knows of a replica group, and how many more requests it may dispatch there. */
import type { EndpointReport } from "./endpoints.js";
import { ReplicaLoad } from "./replica-load.js";
import type { RoutedGroup } from "./route-options.js";

/** Slots assumed for a replica that has not reported any. */
export const unreportedSlots = 1;
/** Fraction of a replica's slots left free by callers that exceed their fair share. */
export const reservedFraction = 0.02;
/** Assumed error of late load reports, as a fraction of the replica's slots. */
export const reportErrorFraction = 0.02;
/**
 * Overload, as a fraction of slots, beyond which credits allow no more requests: credits are wrong while the set of
 * entries changes.
 */
export const overloadFraction = 0.06;
/** Fraction of its credit by which an entry may exceed it for callers within their fair share. */
export const overcommitFraction = 0.05;

/** State of one replica group at one entry. */
export interface RouteState {
    routed: RoutedGroup;
    readonly load: ReplicaLoad;
    /** The last report applied. */
    report: EndpointReport | undefined;
    /** Slots reserved for this entry. */
    credit: number;
    /** Prompt tokens of this entry's requests that have not produced a token yet. */
    prefillTokens: number;
    /** The serving gate's last decision, which `capacity` uses until `gateExpiresAt`. */
    isOpen: boolean;
    gateExpiresAt: number;
}

export function createRouteState(routed: RoutedGroup): RouteState {
    return {
        routed,
        load: ReplicaLoad.create(),
        report: undefined,
        credit: 0,
        prefillTokens: 0,
        isOpen: false,
        gateExpiresAt: -Infinity,
    };
}

/** Returns how many more requests may be dispatched, by credits and by the estimate of free slots. */
export function capacityByCredits(state: RouteState, borrowed: boolean, entries: number): number {
    const slots = state.load.slots ?? unreportedSlots;
    const { ownRequests, allRequests } = state.load;
    const overcommit = Math.max(1, Math.floor(state.credit * overcommitFraction));
    const free = slots - allRequests;
    if (free + overcommit <= 0) {
        return 0;
    }
    const guaranteed = Math.min(state.credit - ownRequests, Math.floor(free + slots * overloadFraction));
    if (borrowed) {
        const lent = (free - Math.max(1, slots * reservedFraction)) / entries;
        return Math.max(0, guaranteed, Math.floor(lent));
    }
    return Math.max(0, guaranteed + overcommit, Math.floor(free - slots * reportErrorFraction));
}

/** Returns how many more requests may be dispatched if only this entry's requests count; for baselines. */
export function capacityByOwnRequests(state: RouteState): number {
    return Math.max(0, (state.load.slots ?? unreportedSlots) - state.load.ownRequests);
}
