/** Derives what the sharing of short capacity knows of an admitted request. */
import { estimatePrefillMilliseconds, estimateStepMilliseconds } from "../engine-model.js";
import type { EngineModel, EngineProfile } from "../engine-model.js";
import type { AdmittedRequest } from "../exchange-context.js";
import type { EngineWork } from "../wire-format.js";
import type { ArrivingRequest } from "./sharing-subject.js";

/** Returns the request as it is shared; undefined unless replica groups of a known model serve it. */
export function arrivingRequestOf(admitted: AdmittedRequest): ArrivingRequest | undefined {
    const { request, service, table, workspace, rank, route, identity } = admitted;
    const { work } = request;
    const profile = table.findService(service)?.engine;
    const model = profile?.models.find(({ name }) => name === work?.model);
    if (work === undefined || profile === undefined || model === undefined) {
        return undefined;
    }
    return {
        pool: `${service} ${model.name}`,
        workspace: workspace ?? "",
        callerKey: request.credential ?? "",
        rank,
        kind: route.name,
        workMilliseconds: expectedWorkMilliseconds(profile, model, work),
        session: work.promptSegments.at(-1),
        identity: () => identity.hash,
    };
}

/** Expected time for which a request takes a whole replica group: its prefill, and its part of the decoding steps. */
export function expectedWorkMilliseconds(
    profile: EngineProfile,
    model: EngineModel,
    { promptTokens }: Pick<EngineWork, "promptTokens">,
): number {
    const decoding =
        (profile.usualAnswerTokens * estimateStepMilliseconds(profile, model, profile.slots)) / profile.slots;
    return estimatePrefillMilliseconds(profile, model, promptTokens) + decoding;
}
