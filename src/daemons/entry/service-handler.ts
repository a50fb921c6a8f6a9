/** Handles calls of plain services under `/services/<service>/...`. */
import type * as http from "node:http";
import { randomUUID } from "node:crypto";
import type { Clock } from "../../contracts/clocks.js";
import type { ServiceSettings } from "../../core/configuration-schemas.js";
import type { Fault, Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import { safeParseIdempotencyKey } from "../../core/idempotency-keys.js";
import type { Caller, ServiceCall } from "../../core/requests.js";
import { sendFault } from "../../links/fault-responses.js";
import type { SystemView } from "../system-view.js";
import { invalidRequest } from "./completion-bodies.js";
import type { ServiceOutcome } from "./service-calls.js";

/** An authenticated call, its body, and the response to write to. */
export interface ServiceExchange {
    readonly caller: Caller;
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly body: string;
}

/** Dependencies of the handler. */
export interface ServiceHandlerOptions {
    readonly view: SystemView;
    readonly clock: Clock;
    readonly run: (call: ServiceCall) => Promise<ServiceOutcome>;
    /** Called at the end of each call that is not idempotent, with "answered" or the code of the fault. */
    readonly onSettled: (outcome: string) => void;
}

/** Header by which a caller declares that it has sent the Idempotency-Key before. */
const retryHeader = "x-chervil-repeat";
/** Maximum age of an idempotency key at a caller's first attempt, in milliseconds; an older key counts as a retry. */
const maximumFirstAttemptAgeMilliseconds = 1_000;

/** Returns the function that runs one call and writes its response. */
export function createServiceHandler(
    options: ServiceHandlerOptions,
): (exchange: ServiceExchange) => Promise<void> {
    return async exchange => {
        const call = toServiceCall(options, exchange);
        if (!call.success) {
            sendFault(exchange.response, call.fault, options.clock);
            return;
        }
        const outcome = await options.run(call.data);
        if (!call.data.idempotent) {
            options.onSettled(outcome.kind === "answered" ? "answered" : outcome.fault.code);
        }
        if (outcome.kind === "refused") {
            sendFault(exchange.response, outcome.fault, options.clock);
            return;
        }
        const { status, contentType, body } = outcome.answer;
        exchange.response.writeHead(status, {
            "x-chervil-request": call.data.id,
            ...(outcome.isReplay ? { "x-chervil-replay": "true" } : {}),
            ...(outcome.bodyOmitted ? { "x-chervil-body-omitted": "true" } : {}),
            ...(contentType === undefined ? {} : { "content-type": contentType }),
        });
        exchange.response.end(body);
    };
}

function toServiceCall(options: ServiceHandlerOptions, exchange: ServiceExchange): Result<ServiceCall> {
    const { caller, request, body } = exchange;
    const match = /^\/services\/([A-Za-z0-9._-]+)(\/.*)$/.exec(request.url ?? "");
    const service = match?.[1];
    const path = match?.[2];
    if (service === undefined || path === undefined) {
        return fail(invalidRequest("expected a path /services/<service>/..."));
    }
    const configuration = options.view.configuration();
    const settings = configuration?.services.get(service);
    const allowed = configuration?.teams.get(caller.team)?.services.includes(service) ?? false;
    if (settings === undefined || !allowed) {
        return fail(inaccessibleServiceFault(service, caller, settings));
    }
    const method = request.method ?? "GET";
    const contentType = request.headers["content-type"];
    const key = request.headers["idempotency-key"];
    const keyText = key === undefined ? undefined : String(key).toLowerCase();
    return succeed({
        id: randomUUID(),
        caller,
        service,
        method,
        path,
        body,
        contentType,
        idempotent: isIdempotent(settings, method, path),
        key: keyText,
        isRepeat: isRetry(request.headers[retryHeader], keyText, options.clock.wallMilliseconds()),
        deadline: options.clock.monotonicMilliseconds() + settings.timeoutMilliseconds,
    });
}

function inaccessibleServiceFault(
    service: string,
    caller: Caller,
    settings: ServiceSettings | undefined,
): Fault {
    if (settings === undefined) {
        return {
            code: "notFound",
            message: `service "${service}" does not exist`,
            step: "parse",
            notRun: true,
        };
    }
    const message = `team "${caller.team}" may not use service "${service}"`;
    return { code: "forbidden", message, step: "authenticate", notRun: true };
}

/**
 * True if the caller declares the call a retry, or if its key is too old for a first attempt. The outcome of an earlier
 * attempt is then unknown until the claim has been read, so that no fault before that may report "not run".
 */
function isRetry(header: string | string[] | undefined, key: string | undefined, wallNow: number): boolean {
    const parsed = key === undefined ? undefined : safeParseIdempotencyKey(key);
    const isOld =
        parsed?.success === true && wallNow - parsed.data.mintedAt > maximumFirstAttemptAgeMilliseconds;
    return header === "true" || isOld;
}

/** True if the service's settings declare the method or the route to be idempotent. */
export function isIdempotent(settings: ServiceSettings, method: string, path: string): boolean {
    if ((settings.idempotentMethods as readonly string[]).includes(method)) {
        return true;
    }
    const parts = (path.split("?")[0] ?? "").split("/");
    return settings.idempotentRoutes.some(route => matchesRoute(route, method, parts));
}

function matchesRoute(route: string, method: string, parts: readonly string[]): boolean {
    const [routeMethod, routePath] = route.split(" ");
    const routeParts = (routePath ?? "").split("/");
    return (
        routeMethod === method &&
        routeParts.length === parts.length &&
        routeParts.every((part, index) => part === "*" || part === parts[index])
    );
}
