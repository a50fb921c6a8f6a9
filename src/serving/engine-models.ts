/**
 * Timing model of a continuously batching model engine. Answers the load of long prompts beside running streams: reading
 * a prompt delays every stream of the same replica group. Routing and silence detection use this one model.
 */

/** One model that the engines of a service can serve. */
export interface EngineModel {
    readonly name: string;
    /** Instances that one replica group of the model spans. */
    readonly size: number;
    /** Factor on all of a group's times. */
    readonly pace: number;
    /** The model's part of the work. */
    readonly share: number;
    /** Time to load the weights from the weight store, in milliseconds. */
    readonly loadMilliseconds: number;
    /** Time to join a group when the weights are staged on the host, in milliseconds. */
    readonly warmMilliseconds: number;
}

/** What the operators state of the engines of one service. */
export interface EngineProfile {
    /** Requests that one group runs at once. */
    readonly slots: number;
    readonly models: readonly EngineModel[];
    readonly stepMilliseconds: number;
    readonly perSequenceMilliseconds: number;
    readonly contextMillisecondsPerThousand: number;
    readonly readTokensPerMillisecond: number;
    readonly pairMillisecondsPerMillion: number;
    /** Most prompt tokens that one step reads. */
    readonly chunkTokens: number;
    /** Steps of one pass while streams are being written. */
    readonly stride: number;
    /** Weight loads that may begin per second, over all instances. */
    readonly loadsPerSecond: number;
    /** Weight loads that the weight store serves at full speed at a time; more share its rate. */
    readonly concurrentLoads: number;
    readonly usualPromptTokens: number;
    readonly usualAnswerTokens: number;
}

/** Work that a group is known to have. */
export interface EngineLoad {
    /** Requests at the group, in whichever phase. */
    readonly requests: number;
    /** Prompt tokens that are not read yet. */
    readonly unreadTokens: number;
}

/** Time of one decoding step with `writers` running streams of usual length, in milliseconds. */
export function estimateStep(profile: EngineProfile, model: EngineModel, writers: number): number {
    const context = writers * (profile.usualPromptTokens + profile.usualAnswerTokens / 2);
    const { stepMilliseconds, perSequenceMilliseconds, contextMillisecondsPerThousand } = profile;
    const decoding =
        stepMilliseconds +
        perSequenceMilliseconds * writers +
        (contextMillisecondsPerThousand * context) / 1000;
    return decoding * model.pace;
}

/** Time to read `tokens` prompt tokens on an otherwise idle group, in milliseconds. */
export function estimateReading(profile: EngineProfile, model: EngineModel, tokens: number): number {
    const pairs = (tokens * tokens) / 2 / 1_000_000;
    const reading = tokens / profile.readTokensPerMillisecond + pairs * profile.pairMillisecondsPerMillion;
    return reading * model.pace;
}

/** Longest time in which a group with this load makes no visible progress, in milliseconds. */
export function estimatePass(profile: EngineProfile, model: EngineModel, load: EngineLoad): number {
    const writers = Math.min(load.requests, profile.slots);
    const tokensInPass = Math.min(load.unreadTokens, profile.chunkTokens * profile.stride);
    const steps = profile.stride * estimateStep(profile, model, writers);
    return steps + estimateReading(profile, model, tokensInPass);
}

/** Time to the first event of a request with `promptTokens` more at a group with this load, in milliseconds. */
export function estimateFirstEvent(
    profile: EngineProfile,
    model: EngineModel,
    load: EngineLoad,
    promptTokens: number,
): number {
    const pass = profile.stride * estimateStep(profile, model, Math.min(load.requests, profile.slots));
    const reading = estimateReading(profile, model, load.unreadTokens + promptTokens);
    return pass + reading + estimateSlotWait(profile, model, load.requests);
}

/** Time until a slot is free for one more request, in milliseconds. */
export function estimateSlotWait(profile: EngineProfile, model: EngineModel, requests: number): number {
    const excess = requests + 1 - profile.slots;
    if (excess <= 0) {
        return 0;
    }
    const stream = profile.usualAnswerTokens * estimateStep(profile, model, profile.slots);
    return (excess * stream) / profile.slots;
}
