/** Estimates the engine time of requests, the unit in which demand for groups is measured. */
import type { EngineModel, EngineProfile } from "../engine-model.js";
import { estimatePrefillMilliseconds, estimateStepMilliseconds } from "../engine-model.js";

/**
 * Estimated share of a full group's time that a request takes, in milliseconds: the prefill of its prompt, which delays the
 * whole group, and one slot for an answer of the usual length.
 */
export function estimateGroupMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    promptTokens: number,
): number {
    const answer = profile.usualAnswerTokens * estimateStepMilliseconds(profile, model, profile.slots);
    return estimatePrefillMilliseconds(profile, model, promptTokens) + answer / profile.slots;
}
