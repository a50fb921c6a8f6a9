/** Policy for the placement of replica groups. Source: operators' configuration under `config/placement/`. */
import * as z from "zod";

const milliseconds = z.number().int().nonnegative();
const count = z.number().int().nonnegative();

const modelSchema = z.strictObject({
    model: z.string().min(1),
    version: z.string().min(1),
    instancesPerReplica: z.number().int().positive(),
    /** Number of replica groups in the failure domain below which no group is drained voluntarily. */
    floor: count,
    /** Number of replica groups in the failure domain that the current load requires. */
    demand: count,
});

const weightsSchema = z.strictObject({
    /** Cost of one group being out of service for one second. */
    groupDowntime: z.number().nonnegative(),
    /** Cost of one accelerator being outside any serving group for one second. */
    strandedAccelerators: z.number().nonnegative(),
});

const repairSchema = z.strictObject({
    /** Fraction of silences that are pauses, after which the instance resumes with its weights. */
    pauseChance: z.number().min(0).max(1).default(0.3),
    /** Mean duration of a pause. */
    pauseMilliseconds: milliseconds.default(10_000),
    /** Mean time until a dead instance restarts, without weights, if it restarts. */
    restartMilliseconds: milliseconds.default(60_000),
    /** Fraction of dead instances that restart. */
    restartChance: z.number().min(0).max(1).default(0.7),
    /** Time that one instance takes to load weights from the weight store. */
    coldLoadMilliseconds: milliseconds.default(60_000),
    /** Time that one instance takes to join a group if it already holds the weights. */
    warmLoadMilliseconds: milliseconds.default(2_000),
    /** Mean time between losses of one instance. */
    instanceLossMilliseconds: milliseconds.default(30 * 24 * 3_600_000),
});

/** Schema of the placement policy; every setting except models and weights has a default. */
export const placementPolicySchema = z.strictObject({
    models: z.array(modelSchema),
    weights: weightsSchema,
    acceleratorsPerInstance: z.number().int().positive().default(1),
    /** Time after a probe is sent during which its response counts as health. */
    healthMilliseconds: milliseconds.default(3_000),
    /** Time after a dispatch at which the entry abandons it if the engine has not accepted it. */
    dispatchMilliseconds: milliseconds.default(1_000),
    /** Time after which an engine discards an order. */
    orderMilliseconds: milliseconds.default(2_000),
    /** True if every engine rejects orders with an old epoch. */
    enginesCheckFencing: z.boolean().default(true),
    /**
     * Maximum pause of a placer between its lease check and the sending of an order; used only if engines do not check
     * epochs.
     */
    allowedPauseMilliseconds: milliseconds.default(5_000),
    /** Maximum number of instances of one fabric domain that load from the weight store concurrently. */
    weightStoreLoadsAtOnce: z.number().int().positive().default(8),
    leaseSeconds: z.number().int().positive().default(10),
    /** Gap between ticks above which the process treats its leases and health views as lost. */
    lateTickMilliseconds: milliseconds.default(2_000),
    /** Time that a draining group has to finish its streams. */
    leavingMilliseconds: milliseconds.default(120_000),
    repair: repairSchema.default(() => repairSchema.parse({})),
});

/** Placement settings of one model. */
export type PlacementModel = Readonly<z.infer<typeof modelSchema>>;

/** Costs that placement weighs against each other. */
export type PlacementWeights = Readonly<z.infer<typeof weightsSchema>>;

/** Expected behaviour of instances and the weight store, for the repair decision. */
export type RepairPolicy = Readonly<z.infer<typeof repairSchema>>;

/** Placement policy. Times are durations in milliseconds, which are added to a local time to form a deadline. */
export interface PlacementPolicy extends Readonly<
    Omit<z.infer<typeof placementPolicySchema>, "models" | "repair" | "weights">
> {
    readonly models: readonly PlacementModel[];
    readonly weights: PlacementWeights;
    readonly repair: RepairPolicy;
}

/**
 * Returns how long every member must have been observed in its group before the group may serve. After this time no
 * entry holds a valid report of a member in an earlier group, and no dispatch based on such a report is still accepted.
 */
export function groupSettleMilliseconds(policy: PlacementPolicy): number {
    return policy.healthMilliseconds + policy.dispatchMilliseconds;
}

/** Returns how long a new lease holder waits before it acts, so that no order of an earlier holder can arrive later. */
export function takeoverMilliseconds(policy: PlacementPolicy): number {
    if (policy.enginesCheckFencing) {
        return 0;
    }
    return policy.leaseSeconds * 1_000 + policy.orderMilliseconds + policy.allowedPauseMilliseconds;
}

/**
 * Returns how long after its dispatch decision an order without a response may still take effect. An order carries its
 * remaining time, so an engine that does not check epochs may act on it for one order deadline after a late arrival.
 */
export function orderSettleMilliseconds(policy: PlacementPolicy): number {
    const { orderMilliseconds, allowedPauseMilliseconds } = policy;
    return policy.enginesCheckFencing ? orderMilliseconds : 2 * orderMilliseconds + allowedPauseMilliseconds;
}
