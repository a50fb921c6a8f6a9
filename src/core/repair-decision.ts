/**
 * The repair decision: how to restore a group that lost members. Waiting pays as long as the probability that the
 * member returns within the next interval, times the time that its return saves, exceeds that interval.
 * docs/design/placement.md derives the rule.
 */
import type { PlacementPolicy } from "./placement-policy.js";
import { groupSettleMilliseconds } from "./placement-policy.js";

/** A group that lost members, and the means to replace them. */
export interface RepairContext {
    /** Members that the group needs. */
    readonly instances: number;
    /** Members without a report within the health deadline. */
    readonly silent: number;
    /** Members that respond, but no longer hold the weights. */
    readonly lostWeights: number;
    /** Longest silence of a member, in milliseconds. */
    readonly silentMilliseconds: number;
    /** Free spares that hold this model version. */
    readonly warmSpares: number;
    /** Free spares that do not hold this model version. */
    readonly coldSpares: number;
    /** Time that a cold load waits for the weight store, in milliseconds. */
    readonly loadQueueMilliseconds: number;
    /** True if the survivors of another broken group can replace the silent members of this one. */
    readonly canSurvivorsCompleteGroup: boolean;
}

/**
 * Repair of a group. "merge": dissolve another broken group whose survivors complete this one or, if there is none,
 * this group, so that its survivors become spares.
 */
export type RepairChoice = "wait" | "warmSpare" | "coldSpare" | "merge";

/** Chooses the repair of one broken group. */
export type DecideRepair = (situation: RepairContext, policy: PlacementPolicy) => RepairChoice;

/** Never replaces a silent member; reloads weights once every member responds again. */
export const waitForRestart: DecideRepair = situation =>
    situation.silent === 0 ? chooseSpare(situation) : "wait";

/** Replaces silent members immediately, and merges groups if there are too few spares. */
export const rebuildImmediately: DecideRepair = situation => {
    if (situation.silent === 0 || hasSpares(situation)) {
        return chooseSpare(situation);
    }
    return "merge";
};

/** Chooses the repair with the lowest expected cost. */
export const chooseCheapestRepair: DecideRepair = (situation, policy) => {
    if (situation.silent === 0) {
        return chooseSpare(situation);
    }
    if (hasSpares(situation)) {
        return isWaitingCheaper(situation, policy, replacementMilliseconds(situation, policy))
            ? "wait"
            : chooseSpare(situation);
    }
    if (!situation.canSurvivorsCompleteGroup) {
        return "wait";
    }
    return isWaitingCheaper(situation, policy, warmReplacementMilliseconds(policy)) ? "wait" : "merge";
};

/** Returns the probability per millisecond that an instance silent for this long returns with its weights. */
export function returnProbabilityPerMillisecond(silentMilliseconds: number, policy: PlacementPolicy): number {
    const { pauseChance, pauseMilliseconds, restartChance, restartMilliseconds } = policy.repair;
    const pauseLength = Math.max(1, pauseMilliseconds);
    const restartLength = Math.max(1, restartMilliseconds);
    const paused = pauseChance * Math.exp(-silentMilliseconds / pauseLength);
    const restarting = (1 - pauseChance) * restartChance * Math.exp(-silentMilliseconds / restartLength);
    const lost = (1 - pauseChance) * (1 - restartChance);
    return paused / Math.max(Number.EPSILON, paused + restarting + lost) / pauseLength;
}

/**
 * Compares one more millisecond of waiting with the time that a return within it is expected to save. The group is out
 * of service, and the survivors and the spare are stranded, during the wait as well as during the time that could be
 * saved, so a millisecond of either has an equal cost. A replacement in progress is abandoned if a member returns with
 * its weights, so a return saves at most one warm load. A member that returns without weights has to load like a spare
 * and saves nothing.
 */
function isWaitingCheaper(situation: RepairContext, policy: PlacementPolicy, replacing: number): boolean {
    const rate = returnProbabilityPerMillisecond(situation.silentMilliseconds, policy);
    return situation.silent === 1 && rate * Math.min(replacing, warmReplacementMilliseconds(policy)) > 1;
}

function hasSpares(situation: RepairContext): boolean {
    return situation.warmSpares + situation.coldSpares >= situation.silent;
}

/**
 * Chooses warm spares if they cover the silent members and those that lost their weights: a member that lost its
 * weights must load them again, a warm spare need not.
 */
function chooseSpare(situation: RepairContext): RepairChoice {
    const needed = situation.silent + situation.lostWeights;
    return situation.warmSpares >= needed ? "warmSpare" : "coldSpare";
}

/** Returns the expected time out of service in milliseconds if members are replaced now. */
function replacementMilliseconds(situation: RepairContext, policy: PlacementPolicy): number {
    if (situation.warmSpares >= situation.silent + situation.lostWeights) {
        return warmReplacementMilliseconds(policy);
    }
    const cold = Math.max(groupSettleMilliseconds(policy), policy.repair.coldLoadMilliseconds);
    return situation.loadQueueMilliseconds + cold;
}

function warmReplacementMilliseconds(policy: PlacementPolicy): number {
    return Math.max(groupSettleMilliseconds(policy), policy.repair.warmLoadMilliseconds);
}

/**
 * Returns how many idle spares a fabric domain keeps instead of adding them to groups above the demand. At each loss, a
 * spare saves the time needed to drain such a group; it costs the accelerators of one instance permanently.
 */
export function computeSpareReserve(instances: number, policy: PlacementPolicy): number {
    const { groupDowntime, strandedAccelerators } = policy.weights;
    const outageMilliseconds = policy.repair.restartMilliseconds + policy.repair.coldLoadMilliseconds;
    const lossesPerMillisecond = instances / Math.max(1, policy.repair.instanceLossMilliseconds);
    const size = Math.max(1, ...policy.models.map(model => model.instancesPerReplica));
    const accelerators = policy.acceleratorsPerInstance;
    const costPerMillisecondDown = groupDowntime + strandedAccelerators * accelerators * (size - 1);
    const costPerLoss = policy.leavingMilliseconds * costPerMillisecondDown;
    const spareCost = strandedAccelerators * accelerators;
    let reserve = 0;
    let probability = 1;
    while (reserve < instances && lossesPerMillisecond * costPerLoss * probability > spareCost) {
        reserve += 1;
        probability *= (lossesPerMillisecond * outageMilliseconds) / reserve;
    }
    return reserve;
}
