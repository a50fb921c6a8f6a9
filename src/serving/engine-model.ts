/**
 * Timing model of a model engine with continuous batching. Covers long prompts beside running streams: the prefill of a
 * prompt delays every stream of the replica group. Routing and stall detection share this model.
 */

/** A model that the engines of a service can serve. */
export interface EngineModel {
    readonly name: string;
    /** Number of instances in one replica group of the model. */
    readonly size: number;
    /** Factor on all times of a group of this model. */
    readonly pace: number;
    /** The model's share of the work. */
    readonly share: number;
    /** Time to load the weights from the weight store, in milliseconds. */
    readonly loadMilliseconds: number;
    /** Time to join a group when the weights are staged on the host, in milliseconds. */
    readonly warmMilliseconds: number;
}

/** Configured properties of the engines of one service. */
export interface EngineProfile {
    /** Number of requests that one group runs concurrently. */
    readonly slots: number;
    readonly models: readonly EngineModel[];
    readonly stepMilliseconds: number;
    readonly perSequenceMilliseconds: number;
    readonly contextMillisecondsPerThousandTokens: number;
    readonly prefillTokensPerMillisecond: number;
    readonly attentionMillisecondsPerMillionPairs: number;
    /** Maximum number of prompt tokens that one step reads (chunked prefill). */
    readonly chunkTokens: number;
    /** Number of steps in one pass while streams are being generated. */
    readonly stepsPerPass: number;
    /** Number of weight loads that may begin per second over all instances. */
    readonly loadsPerSecond: number;
    /** Number of concurrent weight loads that the weight store serves at full speed; more loads share its rate. */
    readonly concurrentLoads: number;
    readonly usualPromptTokens: number;
    readonly usualAnswerTokens: number;
}

/**
 * Time over which the predicted streams of a group end, as a multiple of their mean rest. It would be 2 if all were of one
 * length; with lengths of a wide spread the short ones leave early.
 */
const predictedSpread = 1.2;

/** Known load of a group. */
export interface EngineLoad {
    /** Number of requests at the group, in any phase. */
    readonly requests: number;
    /** Number of prompt tokens whose prefill has not finished. */
    readonly unreadTokens: number;
    /** Number of requests whose expected output is in `outputTokens`; the others count as usual. 0 if undefined. */
    readonly predictedRequests?: number;
    /** Expected number of output tokens that are yet to be generated for these requests. */
    readonly outputTokens?: number;
}

/** Estimated time of one decoding step with `streams` running streams of usual length, in milliseconds. */
export function estimateStepMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    streams: number,
): number {
    const contextTokens = streams * (profile.usualPromptTokens + profile.usualAnswerTokens / 2);
    const {
        stepMilliseconds,
        perSequenceMilliseconds,
        contextMillisecondsPerThousandTokens: contextMillisecondsPerThousand,
    } = profile;
    const decoding =
        stepMilliseconds +
        perSequenceMilliseconds * streams +
        (contextMillisecondsPerThousand * contextTokens) / 1000;
    return decoding * model.pace;
}

/** Estimated prefill time of `tokens` prompt tokens on an otherwise idle group, in milliseconds. */
export function estimatePrefillMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    tokens: number,
): number {
    const millionPairs = (tokens * tokens) / 2 / 1_000_000;
    const prefill =
        tokens / profile.prefillTokensPerMillisecond +
        millionPairs * profile.attentionMillisecondsPerMillionPairs;
    return prefill * model.pace;
}

/** Maximum expected time between two events of a group with this load, in milliseconds. */
export function estimatePassMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    load: EngineLoad,
): number {
    const streams = Math.min(load.requests, profile.slots);
    const tokensInPass = Math.min(load.unreadTokens, profile.chunkTokens * profile.stepsPerPass);
    const steps = profile.stepsPerPass * estimateStepMilliseconds(profile, model, streams);
    return steps + estimatePrefillMilliseconds(profile, model, tokensInPass);
}

/**
 * Estimated time to the first event of a new request with `promptTokens` at a group with this load, in
 * milliseconds.
 */
export function estimateFirstEventMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    load: EngineLoad,
    promptTokens: number,
): number {
    const pass =
        profile.stepsPerPass *
        estimateStepMilliseconds(profile, model, Math.min(load.requests, profile.slots));
    const prefill = estimatePrefillMilliseconds(profile, model, load.unreadTokens + promptTokens);
    return pass + prefill + estimateSlotWaitMilliseconds(profile, model, load);
}

/**
 * Expected number of output tokens that a group has yet to generate. Without an estimate, running requests are half done.
 */
export function estimateOutputTokens(profile: EngineProfile, load: EngineLoad): number {
    const unpredicted = Math.max(0, load.requests - (load.predictedRequests ?? 0));
    const waiting = Math.min(unpredicted, Math.max(0, load.requests - profile.slots));
    return (load.outputTokens ?? 0) + ((unpredicted + waiting) * profile.usualAnswerTokens) / 2;
}

/**
 * Estimated time until a slot is free for one more request, in milliseconds: usual streams leave their slots evenly over
 * their whole time, predicted ones over a little more than their mean rest. A stream that waits counts as two, since it has
 * generated nothing yet.
 */
export function estimateSlotWaitMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    load: EngineLoad,
): number {
    const { slots } = profile;
    const waitingRequests = load.requests + 1 - slots;
    if (waitingRequests <= 0) {
        return 0;
    }
    const predicted = load.outputTokens ?? 0;
    const usual = estimateOutputTokens(profile, load) - predicted;
    const tokens = (2 * usual + predictedSpread * predicted) / (load.requests + waitingRequests - 1);
    return (waitingRequests * tokens * estimateStepMilliseconds(profile, model, slots)) / slots;
}
