/** Policies that choose a replica for a request: by estimated first-token time, and baselines for comparison. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { ReplicaGroupId } from "./replica-groups.js";

/** What a policy knows about one replica. */
export interface RouteCandidate {
    readonly group: ReplicaGroupId;
    readonly isLocal: boolean;
    readonly slots: number;
    /** Slots reserved for this entry. */
    readonly credit: number;
    /** Requests of this entry in flight at the replica. */
    readonly ownRequests: number;
    /** Estimated requests of all entries at the replica. */
    readonly allRequests: number;
    /** Prompt tokens of this entry's requests that have not produced a token yet. */
    readonly prefillTokens: number;
    /** Factor by which the replica is slower than others of its model. */
    readonly slowdown: number;
    /** Prompt tokens that the replica probably has in its prefix cache. */
    readonly cachedTokens: number;
    /** True if the hash ring lists this replica first for the beginning of the prompt. */
    readonly isPreferred: boolean;
}

/** Chooses one of the candidates; there is at least one. */
export type ChooseRoute = (
    candidates: readonly RouteCandidate[],
    promptTokens: number,
    random: RandomNumber,
) => RouteCandidate;

/** Costs in milliseconds of first-token time. */
export interface RouteCosts {
    readonly prefillMillisecondsPerToken: number;
    /** Cost of a full batch; a replica that is partly loaded costs the same part of it. */
    readonly fullBatchMilliseconds: number;
    /** Wait for each request ahead when all slots are taken. */
    readonly slotWaitMilliseconds: number;
    readonly remoteMilliseconds: number;
    readonly preferredMilliseconds: number;
}

export const defaultRouteCosts: RouteCosts = {
    prefillMillisecondsPerToken: 0.1,
    fullBatchMilliseconds: 40,
    slotWaitMilliseconds: 100,
    remoteMilliseconds: 2,
    preferredMilliseconds: 5,
};

/** Returns a policy that chooses the least estimated time; up to 1 ms of random time is added to break ties. */
export function chooseByEstimate(costs: RouteCosts = defaultRouteCosts): ChooseRoute {
    return (candidates, promptTokens, random) => {
        let best = candidates[0]!;
        let minimum = Infinity;
        for (const candidate of candidates) {
            const estimate = estimateMilliseconds(candidate, promptTokens, costs) + random();
            if (estimate < minimum) {
                minimum = estimate;
                best = candidate;
            }
        }
        return best;
    };
}

function estimateMilliseconds(candidate: RouteCandidate, promptTokens: number, costs: RouteCosts): number {
    const uncached = Math.max(0, promptTokens - candidate.cachedTokens) + candidate.prefillTokens;
    const load = candidate.allRequests / Math.max(1, candidate.slots);
    const waiting = estimateRequestsAhead(candidate);
    const work =
        uncached * costs.prefillMillisecondsPerToken +
        load * costs.fullBatchMilliseconds +
        waiting * costs.slotWaitMilliseconds;
    const distance = candidate.isLocal ? 0 : costs.remoteMilliseconds;
    const affinity = candidate.isPreferred ? costs.preferredMilliseconds : 0;
    return (work + costs.fullBatchMilliseconds) * candidate.slowdown + distance - affinity;
}

/** Assumed error of late load reports, as a fraction of the replica's slots. */
const reportErrorFraction = 0.05;

/** Estimates how many requests wait before a new one. An entry within its credit assumes 0, since load reports lag. */
function estimateRequestsAhead(candidate: RouteCandidate): number {
    if (candidate.ownRequests < candidate.credit) {
        return 0;
    }
    const uncertain = Math.max(1, candidate.slots * reportErrorFraction);
    return Math.max(0, candidate.allRequests + uncertain - candidate.slots);
}

/** Returns a round-robin policy, as a baseline. */
export function chooseRoundRobin(): ChooseRoute {
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

/** Chooses the replica with the fewest requests of this entry in flight, as a baseline. */
export const chooseFewestInFlight: ChooseRoute = (candidates, ...[, random]) => {
    let best = candidates[0]!;
    let minimum = Infinity;
    for (const candidate of candidates) {
        const load = candidate.ownRequests + random();
        if (load < minimum) {
            minimum = load;
            best = candidate;
        }
    }
    return best;
};
