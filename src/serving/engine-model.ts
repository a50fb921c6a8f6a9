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

/** Known load of a group. */
export interface EngineLoad {
    /** Number of requests at the group, in any phase. */
    readonly requests: number;
    /** Number of prompt tokens whose prefill has not finished. */
    readonly unreadTokens: number;
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
    return pass + prefill + estimateSlotWaitMilliseconds(profile, model, load.requests);
}

/** Estimated time until a slot is free for one more request, in milliseconds. */
export function estimateSlotWaitMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    requests: number,
): number {
    const waitingRequests = requests + 1 - profile.slots;
    if (waitingRequests <= 0) {
        return 0;
    }
    const streamMilliseconds =
        profile.usualAnswerTokens * estimateStepMilliseconds(profile, model, profile.slots);
    return (waitingRequests * streamMilliseconds) / profile.slots;
}
