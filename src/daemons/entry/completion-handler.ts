/** Handles completion requests: checks them and passes them to the entry loop. */
import type * as http from "node:http";
import { randomUUID } from "node:crypto";
import type { Clock } from "../../contracts/clocks.js";
import type { Configuration } from "../../core/configuration-values.js";
import type { AnswerStart, HeldStream } from "../../core/entry-commands.js";
import type { Fault, Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import { hashText } from "../../core/hashes.js";
import type { Caller, CompletionRequest } from "../../core/requests.js";
import type { OpenSeal, ResumeTokenContent } from "../../core/resume-tokens.js";
import { openResumeToken } from "../../core/resume-tokens.js";
import type { Team } from "../../core/teams.js";
import type { SystemView } from "../system-view.js";
import { CompletionResponse } from "./completion-response.js";
import type { CompletionBody } from "./completion-bodies.js";
import { countTokens, invalidRequest } from "./completion-bodies.js";
import type { EntryLoop } from "./entry-loop.js";

/** Dependencies of the handler. */
export interface CompletionHandlerOptions {
    readonly loop: EntryLoop;
    readonly view: SystemView;
    readonly clock: Clock;
    readonly openSeal: OpenSeal;
}

/** An authenticated completion request and the response to write to. */
export interface CompletionExchange {
    readonly caller: Caller;
    readonly body: CompletionBody;
    readonly headers: http.IncomingHttpHeaders;
    readonly response: http.ServerResponse;
}

interface CompletionArrival {
    readonly request: CompletionRequest;
    readonly start: AnswerStart;
    readonly held: HeldStream | undefined;
}

/** Starts one completion request; returns the fault if the request was refused before it reached the loop. */
export function handleCompletion(
    options: CompletionHandlerOptions,
    exchange: CompletionExchange,
): Fault | undefined {
    const configuration = options.view.configuration();
    const team = configuration?.teams.get(exchange.caller.team);
    const checked = checkRequest(configuration, team, exchange.body);
    if (!checked.success || team === undefined) {
        return checked.success ? undefined : checked.fault;
    }
    const arrival = createArrival(options, exchange, team);
    if (!arrival.success) {
        return arrival.fault;
    }
    const { request, start, held } = arrival.data;
    const answer = CompletionResponse.create({
        response: exchange.response,
        body: exchange.body,
        request: request.id,
        promptTokens: request.promptTokens,
        clock: options.clock,
        onTaken: offset => options.loop.recordTaken(request.id, offset),
        onDisconnect: () => options.loop.recordDisconnect(request.id),
    });
    options.loop.handleRequest(request, start, held, answer);
    return undefined;
}

function checkRequest(
    configuration: Configuration | undefined,
    team: Team | undefined,
    body: CompletionBody,
): Result<undefined> {
    if (configuration === undefined || team === undefined) {
        const message = "the caller's team is not configured";
        return fail({ code: "forbidden", message, step: "authenticate", notRun: true });
    }
    if (!configuration.models.has(body.model)) {
        const message = `model "${body.model}" does not exist`;
        return fail({ code: "notFound", message, step: "parse", path: ["model"], notRun: true });
    }
    if (!team.models.includes(body.model)) {
        const message = `team "${team.id}" may not use model "${body.model}"`;
        return fail({ code: "forbidden", message, step: "authenticate", path: ["model"], notRun: true });
    }
    if (body.maximumTokens > team.limits.maximumTokens) {
        return fail(
            invalidRequest(`field "max_tokens": at most ${team.limits.maximumTokens}`, ["max_tokens"]),
        );
    }
    return succeed(undefined);
}

function createArrival(
    options: CompletionHandlerOptions,
    exchange: CompletionExchange,
    team: Team,
): Result<CompletionArrival> {
    const { body, headers, caller } = exchange;
    const request = (id: string): CompletionRequest => ({
        id,
        caller,
        model: body.model,
        prompt: body.prompt,
        promptTokens: countTokens(body.prompt),
        maximumTokens: body.maximumTokens,
        priority: team.rank,
        deadline: options.clock.monotonicMilliseconds() + team.limits.requestMilliseconds,
    });
    const token = headers["x-chervil-resume"];
    if (token === undefined) {
        const start = { fromOffset: 0, delivered: "" };
        return succeed({ request: request(randomUUID()), start, held: undefined });
    }
    return createReattachment(options, exchange, String(token), request);
}

function createReattachment(
    options: CompletionHandlerOptions,
    exchange: CompletionExchange,
    token: string,
    request: (id: string) => CompletionRequest,
): Result<CompletionArrival> {
    const { body, headers, caller } = exchange;
    const opened = openResumeToken(token, caller, options.openSeal, options.clock.wallMilliseconds());
    if (!opened.success) {
        return opened;
    }
    if (opened.data.promptHash !== hashText(body.prompt) || opened.data.model !== body.model) {
        return fail(
            invalidRequest(
                "the model or prompt differs from that of the request for which the resume token was issued",
            ),
        );
    }
    const fromOffset = parseNextOffset(headers["last-event-id"]);
    if (fromOffset === undefined) {
        return fail(invalidRequest("expected Last-Event-ID to be the offset of the last token received"));
    }
    const start = { fromOffset, delivered: fromOffset === 0 ? "" : body.delivered };
    const held = findHeldStream(options.view, opened.data);
    if (held === undefined && start.delivered === undefined) {
        const message =
            'the stream is lost and the request has no "chervil_delivered" text to resume from; start a new request';
        return fail({
            code: "streamLost",
            message,
            step: "stream",
            peer: opened.data.instance,
            notRun: false,
        });
    }
    return succeed({ request: request(opened.data.request), start, held });
}

function parseNextOffset(header: string | string[] | undefined): number | undefined {
    if (header === undefined || header === "") {
        return 0;
    }
    const last = Number(header);
    return Number.isSafeInteger(last) && last >= 0 ? last + 1 : undefined;
}

function findHeldStream(view: SystemView, content: ResumeTokenContent): HeldStream | undefined {
    const leader = view.instanceOf(content.instance);
    const group = view
        .placements()
        .flatMap(placement => placement.groups)
        .find(candidate => candidate.id === content.group);
    if (leader === undefined || group === undefined || group.members[0] !== content.instance) {
        return undefined;
    }
    return { group, leader, attempt: content.attempt };
}
