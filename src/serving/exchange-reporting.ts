/** Log lines and metrics of a request: one line for each attempt without a complete response, and one at the end. */
import type { AttemptOutcome } from "./attempt-decision.js";
import type { AttemptTarget } from "./dispatcher.js";
import type { Attempt } from "./exchange-attempt.js";
import type { AdmittedRequest, ExchangeContext } from "./exchange-context.js";
import { estimateGroupMilliseconds } from "./placement/engine-time.js";

/** How a request ended. */
export interface ExchangeEnd {
    readonly outcome: string;
    /** Further log fields that explain the outcome. */
    readonly fields: Readonly<Record<string, unknown>>;
    readonly lastTarget: AttemptTarget | undefined;
    readonly attemptCount: number;
    readonly possibleRuns: number;
    /** Local monotonic milliseconds, as for all times in this module. */
    readonly firstByteAt: number | undefined;
    readonly endedAt: number;
}

/** How one attempt ended. */
export interface AttemptEnd {
    /** "superseded": another attempt served the request first. */
    readonly outcome: AttemptOutcome | "superseded";
    readonly reason: string;
    readonly lastEventId: number | undefined;
    readonly possibleRuns: number;
    readonly endedAt: number;
}

/** Log fields that identify a request, its route and the configuration that admitted it. */
export function describeRequest(admitted: AdmittedRequest): Readonly<Record<string, unknown>> {
    const { request, route, service, table } = admitted;
    return {
        request: request.id,
        route: route.name,
        service,
        model: request.work?.model,
        configuration: table.configuration.version,
    };
}

export function recordAttemptEnd(
    context: ExchangeContext,
    admitted: AdmittedRequest,
    attempt: Attempt,
    end: AttemptEnd,
): void {
    const { target } = attempt;
    context.metrics.attempts.inc({ service: admitted.service, outcome: end.outcome });
    context.log.info("attempt ended", {
        ...describeRequest(admitted),
        instance: target.instance?.id,
        peer: target.peer?.name,
        group: target.group,
        attempt: attempt.number,
        outcome: end.outcome,
        reason: end.reason,
        tookMilliseconds: Math.round(end.endedAt - attempt.sentAt),
        expectedMilliseconds: Math.round(target.expectedMilliseconds),
        isDeferred: target.isDeferred,
        fleetRevision: target.fleetRevision,
        lastEvent: end.lastEventId,
        identity: admitted.identity.hash,
        resource: admitted.identity.resourceHash,
        promptSegments: admitted.request.work?.promptSegments,
        hasHead: attempt.head !== undefined,
        hasReceivedEvents: attempt.hasReceivedEvents,
        runs: end.possibleRuns,
        repeatsLeft: context.retryWindowOf(admitted.service).availableRetries(end.endedAt),
    });
}

export function recordExchangeEnd(
    context: ExchangeContext,
    admitted: AdmittedRequest,
    end: ExchangeEnd,
): void {
    const { metrics, log } = context;
    const { route, arrivedAt } = admitted;
    const { lastTarget, firstByteAt, endedAt, outcome } = end;
    const labels = { route: route.repeatability };
    metrics.requests.inc({ ...labels, outcome });
    metrics.responseSeconds.observe(labels, (endedAt - arrivedAt) / 1000);
    if (firstByteAt !== undefined) {
        metrics.firstByteSeconds.observe(labels, (firstByteAt - arrivedAt) / 1000);
    }
    log.info("request ended", {
        ...describeRequest(admitted),
        outcome,
        ...end.fields,
        instance: lastTarget?.instance?.id,
        peer: lastTarget?.peer?.name,
        forwardedBy: admitted.forwarded?.from,
        group: lastTarget?.group,
        fleetRevision: lastTarget?.fleetRevision,
        sends: end.attemptCount,
        runs: end.possibleRuns,
        firstByteMilliseconds: firstByteAt && Math.round(firstByteAt - arrivedAt),
        tookMilliseconds: Math.round(endedAt - arrivedAt),
    });
}

/** Records that a request for an engine arrived from a caller, whatever becomes of it. */
export function recordArrivedWork(
    { arrivedWork, metrics }: ExchangeContext,
    admitted: AdmittedRequest,
): void {
    const work = describeWork(admitted);
    if (work !== undefined) {
        metrics.arrivedWorkSeconds.inc({ model: work.model }, work.groupMilliseconds / 1000);
        arrivedWork.recordArrival(work.model, work.groupMilliseconds);
    }
}

/** Records that a request for an engine is refused because no group takes it at `now` (local monotonic milliseconds). */
export function recordRefusedWork(
    { arrivedWork, metrics }: ExchangeContext,
    admitted: AdmittedRequest,
    now: number,
): void {
    const work = describeWork(admitted);
    if (work !== undefined) {
        metrics.refusedWorkSeconds.inc({ model: work.model }, work.groupMilliseconds / 1000);
        arrivedWork.recordRefusal(work.model, work.groupMilliseconds, admitted.identity.hash, now);
    }
}

/** Returns undefined for plain services, and for forwarded requests, which count where they arrived. */
function describeWork({
    request,
    table,
    service,
    forwarded,
}: AdmittedRequest): { readonly model: string; readonly groupMilliseconds: number } | undefined {
    const { work } = request;
    if (work === undefined || forwarded !== undefined) {
        return undefined;
    }
    const profile = table.findService(service)?.engine;
    const model = profile?.models.find(({ name }) => name === work.model);
    return profile && model
        ? {
              model: model.name,
              groupMilliseconds: estimateGroupMilliseconds(profile, model, work.promptTokens),
          }
        : undefined;
}
