/**
 * The repair decision: what to do about a group that lost members. Waiting is worth its price as long as the chance
 * that the member comes back in the next moment, times the time that its return would save, exceeds that moment.
 * docs/design/placement.md derives the rule.
 */
import type { PlacementPolicy } from "./placement-policies.js";
import { settleMilliseconds } from "./placement-policies.js";

/** What is known of a group that lost members, and of what could replace them. */
export interface RepairSituation {
    /** Members that the group needs. */
    readonly instances: number;
    /** Members without a report within the health deadline. */
    readonly silent: number;
    /** Members that answer, but hold no weights any more. */
    readonly lostWeights: number;
    /** How long the longest silent member has been silent, in milliseconds. */
    readonly silentMilliseconds: number;
    /** Free spares that hold this model version. */
    readonly warmSpares: number;
    /** Free spares that do not. */
    readonly coldSpares: number;
    /** How long a cold load must wait for the weight store, in milliseconds. */
    readonly queueMilliseconds: number;
    /** True if the survivors would complete another broken group. */
    readonly survivorsComplete: boolean;
}

/** "merge": dissolve this group, so that its survivors complete another one. */
export type RepairChoice = "wait" | "warmSpare" | "coldSpare" | "merge";

/** Decides about one broken group. */
export type DecideRepair = (situation: RepairSituation, policy: PlacementPolicy) => RepairChoice;

/** Never replaces a silent member; only loads again what came back. */
export const waitForRestart: DecideRepair = situation =>
    situation.silent === 0 ? chooseSpare(situation) : "wait";

/** Replaces a silent member at once, and dissolves the group if there is nothing to replace it with. */
export const rebuildAtOnce: DecideRepair = situation => {
    if (situation.silent === 0 || hasSpares(situation)) {
        return chooseSpare(situation);
    }
    return "merge";
};

/** Takes the choice with the lowest expected price. */
export const priceRepair: DecideRepair = (situation, policy) => {
    if (situation.silent === 0) {
        return chooseSpare(situation);
    }
    if (hasSpares(situation)) {
        return isWaitingCheaper(situation, policy, replaceMilliseconds(situation, policy))
            ? "wait"
            : chooseSpare(situation);
    }
    if (!situation.survivorsComplete) {
        return "wait";
    }
    return isWaitingCheaper(situation, policy, warmMilliseconds(policy)) ? "wait" : "merge";
};

/** Chances per millisecond that a silent instance comes back now, with its weights or without them. */
export interface ReturnRates {
    readonly withWeights: number;
    readonly withoutWeights: number;
}

/** Returns the rates of return of an instance that has been silent for this long. */
export function returnRates(silentMilliseconds: number, policy: PlacementPolicy): ReturnRates {
    const { pauseChance, pauseMilliseconds, restartChance, restartMilliseconds } = policy.repair;
    const pauseLength = Math.max(1, pauseMilliseconds);
    const restartLength = Math.max(1, restartMilliseconds);
    const paused = pauseChance * Math.exp(-silentMilliseconds / pauseLength);
    const restarting = (1 - pauseChance) * restartChance * Math.exp(-silentMilliseconds / restartLength);
    const gone = (1 - pauseChance) * (1 - restartChance);
    const all = Math.max(Number.EPSILON, paused + restarting + gone);
    return {
        withWeights: paused / all / pauseLength,
        withoutWeights: restarting / all / restartLength,
    };
}

/**
 * Compares one more millisecond of waiting with what a return in it saves; both are times in which the group is out of
 * service and the survivors and the spare are stranded, so both sides have the same price. A replacement that has begun
 * is given up for a member that returns with its weights, so such a return saves one warm load at most.
 */
function isWaitingCheaper(situation: RepairSituation, policy: PlacementPolicy, act: number): boolean {
    const rates = returnRates(situation.silentMilliseconds, policy);
    const reload = Math.max(settleMilliseconds(policy), policy.repair.coldLoadMilliseconds);
    const savedWithWeights = Math.min(act, warmMilliseconds(policy));
    const saved = rates.withWeights * savedWithWeights + rates.withoutWeights * Math.max(0, act - reload);
    const everyMemberReturns = situation.silent === 1;
    return everyMemberReturns && saved > 1;
}

function hasSpares(situation: RepairSituation): boolean {
    return situation.warmSpares + situation.coldSpares >= situation.silent;
}

/** A member that lost its weights needs a load in any case; a warm spare in its place needs none. */
function chooseSpare(situation: RepairSituation): RepairChoice {
    const needed = situation.silent + situation.lostWeights;
    return situation.warmSpares >= needed ? "warmSpare" : "coldSpare";
}

/** Expected time out of service if members are replaced now. */
function replaceMilliseconds(situation: RepairSituation, policy: PlacementPolicy): number {
    if (situation.warmSpares >= situation.silent + situation.lostWeights) {
        return warmMilliseconds(policy);
    }
    const cold = Math.max(settleMilliseconds(policy), policy.repair.coldLoadMilliseconds);
    return situation.queueMilliseconds + cold;
}

function warmMilliseconds(policy: PlacementPolicy): number {
    return Math.max(settleMilliseconds(policy), policy.repair.warmLoadMilliseconds);
}

/**
 * Returns how many idle spares a fabric domain keeps instead of adding them to groups above the demand. A spare saves
 * the time that draining such a group takes, at each loss; it costs one instance's accelerators all the time.
 */
export function reserveSpares(instances: number, policy: PlacementPolicy): number {
    const { groupDowntime, strandedAccelerators } = policy.weights;
    const outMilliseconds = policy.repair.restartMilliseconds + policy.repair.coldLoadMilliseconds;
    const lossesPerMillisecond = instances / Math.max(1, policy.repair.instanceLossMilliseconds);
    const size = Math.max(1, ...policy.models.map(model => model.instancesPerReplica));
    const accelerators = policy.acceleratorsPerInstance;
    const perMillisecondDown = groupDowntime + strandedAccelerators * accelerators * (size - 1);
    const perLoss = policy.leavingMilliseconds * perMillisecondDown;
    const cost = strandedAccelerators * accelerators;
    let reserve = 0;
    let chance = 1;
    while (reserve < instances && lossesPerMillisecond * perLoss * chance > cost) {
        reserve += 1;
        chance *= (lossesPerMillisecond * outMilliseconds) / reserve;
    }
    return reserve;
}
