/**
 * Chooses the replica group for a request. Covers mixed long and short prompts over groups that few entry instances share:
 * the estimate counts unread prompts, so that a long prompt does not queue behind another one.
 */
import type { EngineLoad, EngineModel, EngineProfile } from "./engine-model.js";
import {
    estimateFirstEventMilliseconds,
    estimateOutputTokens,
    estimatePrefillMilliseconds,
} from "./engine-model.js";
import type { ObservedGroup } from "./fleets.js";

/** Maximum random increase of an estimate, as a fraction, so that entry instances with one view choose different groups. */
const randomSpreadFraction = 0.2;
/**
 * Cost of a group in another failure domain, in milliseconds: about one usual prompt ahead in the queue. A stream within
 * its own failure domain is not affected by a network partition between failure domains.
 */
const crossDomainCostMilliseconds = 30;

/** Cost of opening a connection, in milliseconds: its network round trips. */
const connectionCostMilliseconds = 3;

/**
 * Weight of the delay that a request adds to running streams, relative to its own: most of them have time to spare. In
 * simulations higher weights served no more requests in time (docs/design/request-cost.md).
 */
const addedDelayWeight = 0.1;

/** A group that may take requests. */
export interface GroupOption {
    readonly group: ObservedGroup;
    readonly model: EngineModel;
    readonly load: EngineLoad;
    /** Factor by which the group is slower than the engine model predicts. */
    readonly slowness: number;
    /** True if an idle keep-alive connection to the leader is available. */
    readonly isConnected: boolean;
    /** Expected time until a permit for the leader, in milliseconds; undefined if the leader limits no requests. */
    readonly waitMilliseconds: number | undefined;
}

/** The chosen group with the expected time to the first event, in milliseconds, including the wait for a permit. */
export interface GroupRoute {
    readonly option: GroupOption;
    readonly expectedMilliseconds: number;
}

/** What the choice of a group depends on. */
export interface GroupRouteRequest {
    readonly profile: EngineProfile;
    readonly promptTokens: number;
    /** Expected number of output tokens. */
    readonly outputTokens: number;
    readonly failureDomain: string;
    readonly options: readonly GroupOption[];
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Returns the model of a complete group whose members are all ready and whose leader takes requests. */
export function findServableModel(group: ObservedGroup, profile: EngineProfile): EngineModel | undefined {
    const model = profile.models.find(candidate => candidate.name === group.model);
    if (model === undefined || group.leader === undefined || group.leader.isLeaving) {
        return undefined;
    }
    const isComplete = group.members.length === model.size;
    const areMembersReady = group.members.every(member => {
        const state = member.status.membership?.state;
        return state === "ready" || state === "open";
    });
    return isComplete && areMembersReady && group.leader.status.membership?.state === "open"
        ? model
        : undefined;
}

/**
 * Delay that a request adds to the streams which already run at a group, summed over them, in milliseconds: its prompt is
 * read between their steps, and each step with its own stream takes longer for as long as both run.
 */
function estimateAddedMilliseconds(
    { profile, promptTokens, outputTokens }: GroupRouteRequest,
    { model, load }: GroupOption,
): number {
    const streams = Math.min(load.requests, profile.slots);
    const meanRest = estimateOutputTokens(profile, load) / Math.max(1, load.requests);
    const slowerSteps = Math.min(outputTokens, meanRest) * profile.perSequenceMilliseconds * model.pace;
    return streams * (estimatePrefillMilliseconds(profile, model, promptTokens) + slowerSteps);
}

/** Chooses the group with the earliest expected first event; undefined if there are no options. */
export function chooseGroupRoute(question: GroupRouteRequest): GroupRoute | undefined {
    let best: GroupRoute | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const option of question.options) {
        const serviceMilliseconds =
            option.slowness *
            estimateFirstEventMilliseconds(
                question.profile,
                option.model,
                option.load,
                question.promptTokens,
            );
        const expectedMilliseconds = serviceMilliseconds + (option.waitMilliseconds ?? 0);
        const isCrossDomain = option.group.leader?.failureDomain !== question.failureDomain;
        const cost =
            expectedMilliseconds * (1 + randomSpreadFraction * question.random()) +
            addedDelayWeight * estimateAddedMilliseconds(question, option) +
            (isCrossDomain ? crossDomainCostMilliseconds : 0) +
            (option.isConnected ? 0 : connectionCostMilliseconds);
        if (cost < bestCost) {
            best = { option, expectedMilliseconds };
            bestCost = cost;
        }
    }
    return best;
}
