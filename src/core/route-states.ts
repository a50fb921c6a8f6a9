/** What one entry knows of one replica group, and how many more requests it may send there. */
import type { EndpointReport } from "./endpoints.js";
import { ReplicaLoad } from "./route-loads.js";
import type { RoutedGroup } from "./route-options.js";

/** Slots of a replica that has not reported any. */
export const unreportedSlots = 1;
/** Part of a replica's slots that borrowing callers leave free. */
export const reservedFraction = 0.02;
/** Part of a replica's slots by which late reports are taken to err. */
export const uncertainFraction = 0.02;
/** Part of a replica's slots beyond which no credit counts: credits are wrong while entries come and go. */
export const overfullFraction = 0.06;
/** Part of its credit by which an entry may exceed it for callers within their fair part. */
export const overcommitFraction = 0.05;

/** Knowledge of one group. */
export interface RouteState {
    routed: RoutedGroup;
    readonly load: ReplicaLoad;
    /** The last report taken. */
    report: EndpointReport | undefined;
    /** Slots that this entry may count on. */
    credit: number;
    /** Prompt tokens of own requests that have not shown a token yet. */
    prefillTokens: number;
    /** The serving gate's last answer, and until when it counts in `capacity`. */
    isOpen: boolean;
    gateUntil: number;
}

export function createRouteState(routed: RoutedGroup): RouteState {
    return {
        routed,
        load: ReplicaLoad.create(),
        report: undefined,
        credit: 0,
        prefillTokens: 0,
        isOpen: false,
        gateUntil: -Infinity,
    };
}

/** Returns how many more requests may be sent by credits and by the estimate of free slots. */
export function roomWithCredits(state: RouteState, borrowed: boolean, entries: number): number {
    const slots = state.load.slots ?? unreportedSlots;
    const { ownRequests, allRequests } = state.load;
    const overcommit = Math.max(1, Math.floor(state.credit * overcommitFraction));
    const free = slots - allRequests;
    if (free + overcommit <= 0) {
        return 0;
    }
    const guaranteed = Math.min(state.credit - ownRequests, Math.floor(free + slots * overfullFraction));
    if (borrowed) {
        const lent = (free - Math.max(1, slots * reservedFraction)) / entries;
        return Math.max(0, guaranteed, Math.floor(lent));
    }
    return Math.max(0, guaranteed + overcommit, Math.floor(free - slots * uncertainFraction));
}

/** Returns how many more requests may be sent if only own requests count; for baselines. */
export function roomByOwnRequests(state: RouteState): number {
    return Math.max(0, (state.load.slots ?? unreportedSlots) - state.load.ownRequests);
}
