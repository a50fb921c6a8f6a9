/**
 * Which replica group takes a request. Answers the load of mixed long and short prompts over groups that few entry
 * instances share: the estimate counts unread prompts, so a long prompt does not queue behind another one.
 */
import type { EngineLoad, EngineModel, EngineProfile } from "./engine-models.js";
import { estimateFirstEvent } from "./engine-models.js";
import type { ObservedGroup } from "./fleets.js";

/** Part of an estimate by which choices vary, so that entry instances with the same view do not choose the same. */
const spread = 0.2;
/**
 * Cost of leaving the own failure domain, in milliseconds: about a usual prompt ahead in the queue. A stream that stays
 * is not hit by a cut between failure domains.
 */
const crossDomainMilliseconds = 30;

/** Cost of opening a connection, in milliseconds: its round trips. */
const connectMilliseconds = 3;

/** A group that may take requests. */
export interface GroupOption {
    readonly group: ObservedGroup;
    readonly model: EngineModel;
    readonly load: EngineLoad;
    /** Factor by which the group is slower than its model says. */
    readonly slowness: number;
    /** True if a kept connection to its leader waits for a request. */
    readonly isConnected: boolean;
}

/** The group chosen, with the expected time to the first event in milliseconds. */
export interface GroupRoute {
    readonly option: GroupOption;
    readonly expectedMilliseconds: number;
}

export interface RouteQuestion {
    readonly profile: EngineProfile;
    readonly promptTokens: number;
    readonly failureDomain: string;
    readonly options: readonly GroupOption[];
    /** Returns a number in [0, 1). */
    readonly random: () => number;
}

/** Returns the model of a group whose members are all there and whose leader takes requests. */
export function servableModel(group: ObservedGroup, profile: EngineProfile): EngineModel | undefined {
    const model = profile.models.find(candidate => candidate.name === group.model);
    if (model === undefined || group.leader === undefined || group.leader.isLeaving) {
        return undefined;
    }
    const isWhole = group.members.length === model.size;
    const areReady = group.members.every(member => {
        const state = member.status.membership?.state;
        return state === "ready" || state === "open";
    });
    return isWhole && areReady && group.leader.status.membership?.state === "open" ? model : undefined;
}

/** Chooses the group with the earliest first event; undefined if there is none. */
export function chooseRoute(question: RouteQuestion): GroupRoute | undefined {
    let best: GroupRoute | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const option of question.options) {
        const expectedMilliseconds =
            option.slowness *
            estimateFirstEvent(question.profile, option.model, option.load, question.promptTokens);
        const isElsewhere = option.group.leader?.failureDomain !== question.failureDomain;
        const cost =
            expectedMilliseconds * (1 + spread * question.random()) +
            (isElsewhere ? crossDomainMilliseconds : 0) +
            (option.isConnected ? 0 : connectMilliseconds);
        if (cost < bestCost) {
            best = { option, expectedMilliseconds };
            bestCost = cost;
        }
    }
    return best;
}
