/** What operators set for the placement of replica groups. Source: operators' configuration under `config/placement/`. */
import * as z from "zod";

const milliseconds = z.number().int().nonnegative();
const count = z.number().int().nonnegative();

const modelSchema = z.strictObject({
    model: z.string().min(1),
    version: z.string().min(1),
    instancesPerReplica: z.number().int().positive(),
    /** Replica groups of the whole failure domain below which no group is drained by choice. */
    floor: count,
    /** Replica groups that the present load asks for, over the whole failure domain. */
    demand: count,
});

const weightsSchema = z.strictObject({
    /** Price of one group for one second out of service. */
    groupDowntime: z.number().nonnegative(),
    /** Price of one accelerator for one second outside any serving group. */
    strandedAccelerators: z.number().nonnegative(),
});

const repairSchema = z.strictObject({
    /** Share of silences that are pauses: the instance goes on where it was, with its weights. */
    pauseChance: z.number().min(0).max(1).default(0.3),
    /** Mean length of a pause. */
    pauseMilliseconds: milliseconds.default(10_000),
    /** Mean time after which a dead instance that comes back, without weights, does so. */
    restartMilliseconds: milliseconds.default(60_000),
    /** Share of dead instances that come back at all. */
    restartChance: z.number().min(0).max(1).default(0.7),
    /** Time that one instance takes to load weights from the weight store. */
    coldLoadMilliseconds: milliseconds.default(60_000),
    /** Time that one instance takes to join a group when it holds the weights already. */
    warmLoadMilliseconds: milliseconds.default(2_000),
    /** Mean time between losses of one instance. */
    instanceLossMilliseconds: milliseconds.default(30 * 24 * 3_600_000),
});

/** Schema of the placement policy; everything but models and weights has a default. */
export const placementPolicySchema = z.strictObject({
    models: z.array(modelSchema),
    weights: weightsSchema,
    acceleratorsPerInstance: z.number().int().positive().default(1),
    /** Time after a probe was sent for which its answer counts as health. */
    healthMilliseconds: milliseconds.default(3_000),
    /** Time from a dispatch until the entry abandons it, if the engine has not accepted it. */
    dispatchMilliseconds: milliseconds.default(1_000),
    /** Time from an order until the engine drops it. */
    orderMilliseconds: milliseconds.default(2_000),
    /** True if every engine refuses an order with an old epoch. */
    enginesCheckFencing: z.boolean().default(true),
    /** Longest pause of a placer between its lease check and its send; used only for engines that do not check. */
    allowedPauseMilliseconds: milliseconds.default(5_000),
    /** Instances of one fabric domain that may load from the weight store at the same time. */
    weightStoreLoadsAtOnce: z.number().int().positive().default(8),
    leaseSeconds: z.number().int().positive().default(10),
    /** Gap between ticks above which the process treats its leases and health views as lost. */
    lateTickMilliseconds: milliseconds.default(2_000),
    /** Time that a draining group gets to finish its streams. */
    leavingMilliseconds: milliseconds.default(120_000),
    repair: repairSchema.default(() => repairSchema.parse({})),
});

/** One model as its operators place it. */
export type PlacementModel = Readonly<z.infer<typeof modelSchema>>;

/** Prices of the two measures of placement. */
export type PlacementWeights = Readonly<z.infer<typeof weightsSchema>>;

/** What the repair decision expects of instances and of the weight store. */
export type RepairPolicy = Readonly<z.infer<typeof repairSchema>>;

/** What operators set for placement. Times are milliseconds, counted on from a local moment into a deadline. */
export interface PlacementPolicy extends Readonly<
    Omit<z.infer<typeof placementPolicySchema>, "models" | "repair" | "weights">
> {
    readonly models: readonly PlacementModel[];
    readonly weights: PlacementWeights;
    readonly repair: RepairPolicy;
}

/**
 * Returns how long every member must have been seen in its group before the group may serve. After this time no entry
 * holds a healthy report of a member in an earlier group, and no dispatch made on such a report is still accepted.
 */
export function settleMilliseconds(policy: PlacementPolicy): number {
    return policy.healthMilliseconds + policy.dispatchMilliseconds;
}

/** Returns how long a new lease holder waits before it acts, so that no order of an earlier holder can still arrive. */
export function takeoverMilliseconds(policy: PlacementPolicy): number {
    if (policy.enginesCheckFencing) {
        return 0;
    }
    return policy.leaseSeconds * 1_000 + policy.orderMilliseconds + policy.allowedPauseMilliseconds;
}

/**
 * Returns how long after the decision to send it an unanswered order may still take effect. The time that remains travels
 * with the order, so an engine that does not check epochs may act on it for one order deadline after a late arrival.
 */
export function orderSettleMilliseconds(policy: PlacementPolicy): number {
    const { orderMilliseconds, allowedPauseMilliseconds } = policy;
    return policy.enginesCheckFencing ? orderMilliseconds : 2 * orderMilliseconds + allowedPauseMilliseconds;
}
