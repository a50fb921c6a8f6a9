/** Choice of a replica among those that may take a request: by estimated time, and the baselines. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { ReplicaGroupId } from "./replica-groups.js";

/** What a choice may look at, for one replica. */
export interface RouteCandidate {
    readonly group: ReplicaGroupId;
    readonly isLocal: boolean;
    readonly slots: number;
    /** Slots that this entry may count on. */
    readonly credit: number;
    /** Own requests in flight. */
    readonly ownRequests: number;
    /** Estimate of all requests at the replica. */
    readonly allRequests: number;
    /** Prompt tokens of own requests that have not shown a token yet. */
    readonly prefillTokens: number;
    /** Factor by which the replica is slower than its peers. */
    readonly slowdown: number;
    /** Prompt tokens that the replica is believed to hold. */
    readonly cachedTokens: number;
    /** True if rendezvous hashing prefers this replica for the prompt's beginning. */
    readonly isPreferred: boolean;
}

/** Chooses one of at least one candidates. */
export type ChooseRoute = (
    candidates: readonly RouteCandidate[],
    promptTokens: number,
    random: RandomNumber,
) => RouteCandidate;

/** Prices in milliseconds of first-token time. */
export interface RoutePrices {
    readonly prefillMillisecondsPerToken: number;
    /** Added at a replica whose slots are all taken, relative to its load. */
    readonly fullBatchMilliseconds: number;
    /** Wait for one slot when all are taken. */
    readonly slotWaitMilliseconds: number;
    readonly remoteMilliseconds: number;
    readonly preferredMilliseconds: number;
}

export const defaultPrices: RoutePrices = {
    prefillMillisecondsPerToken: 0.1,
    fullBatchMilliseconds: 40,
    slotWaitMilliseconds: 100,
    remoteMilliseconds: 2,
    preferredMilliseconds: 5,
};

/** Returns the choice by the least estimated time; equal times are decided at random. */
export function chooseByEstimate(prices: RoutePrices = defaultPrices): ChooseRoute {
    return (candidates, promptTokens, random) => {
        let best = candidates[0]!;
        let least = Infinity;
        for (const candidate of candidates) {
            const estimate = estimateOf(candidate, promptTokens, prices) + random();
            if (estimate < least) {
                least = estimate;
                best = candidate;
            }
        }
        return best;
    };
}

function estimateOf(candidate: RouteCandidate, promptTokens: number, prices: RoutePrices): number {
    const uncached = Math.max(0, promptTokens - candidate.cachedTokens) + candidate.prefillTokens;
    const load = candidate.allRequests / Math.max(1, candidate.slots);
    const waiting = waitingAt(candidate);
    const work =
        uncached * prices.prefillMillisecondsPerToken +
        load * prices.fullBatchMilliseconds +
        waiting * prices.slotWaitMilliseconds;
    const distance = candidate.isLocal ? 0 : prices.remoteMilliseconds;
    const affinity = candidate.isPreferred ? prices.preferredMilliseconds : 0;
    return (work + prices.fullBatchMilliseconds) * candidate.slowdown + distance - affinity;
}

/** Part of a replica's slots by which late reports are taken to err. */
const uncertainFraction = 0.05;

/** Requests ahead at a replica; within its credit an entry counts on a free slot, whatever late reports say. */
function waitingAt(candidate: RouteCandidate): number {
    if (candidate.ownRequests < candidate.credit) {
        return 0;
    }
    const uncertain = Math.max(1, candidate.slots * uncertainFraction);
    return Math.max(0, candidate.allRequests + uncertain - candidate.slots);
}

/** Returns a choice of each replica in turn; a baseline. */
export function chooseInTurn(): ChooseRoute {
    let last = "";
    return candidates => {
        const later = candidates.filter(candidate => candidate.group > last);
        const next = (later.length > 0 ? later : candidates).reduce((left, right) =>
            left.group < right.group ? left : right,
        );
        last = next.group;
        return next;
    };
}

/** The replica with the fewest own requests in flight; a baseline. */
export const chooseLeastInFlight: ChooseRoute = (candidates, ...[, random]) => {
    let best = candidates[0]!;
    let least = Infinity;
    for (const candidate of candidates) {
        const load = candidate.ownRequests + random();
        if (load < least) {
            least = load;
            best = candidate;
        }
    }
    return best;
};
