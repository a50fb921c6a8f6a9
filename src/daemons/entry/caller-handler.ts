/** The caller API: authenticates requests, reads their bodies and dispatches them by path. */
import type * as http from "node:http";
import type { Clock } from "../../contracts/clocks.js";
import type { RequestLimits } from "../../core/configuration-schemas.js";
import type { Fault } from "../../core/errors.js";
import { sendJson } from "../../links/admin-server.js";
import { readCallerBody } from "../../links/caller-server.js";
import { sendFault, sendFaultEarly } from "../../links/fault-responses.js";
import type { SystemView } from "../system-view.js";
import type { CompletionForm } from "./completion-bodies.js";
import { safeParseCompletion } from "./completion-bodies.js";
import type { CompletionExchange } from "./completion-handler.js";
import type { Credentials } from "./credentials.js";
import type { ServiceExchange } from "./service-handler.js";

/** Readiness of the process, as load balancers query it. */
export type Readiness = "starting" | "ready" | "leaving";

/** Dependencies of the caller API. */
export interface CallerHandlerOptions {
    readonly view: SystemView;
    readonly clock: Clock;
    readonly credentials: () => Credentials;
    readonly readiness: () => Readiness;
    readonly handleCompletion: (exchange: CompletionExchange) => Fault | undefined;
    readonly handleService: (exchange: ServiceExchange) => Promise<void>;
}

/** Time after which a caller refused by a leaving, starting or full process may retry, in milliseconds. */
const notReadyRetryMilliseconds = 1_000;

const completionPaths: Readonly<Record<string, CompletionForm>> = {
    "/v1/completions": "completion",
    "/v1/chat/completions": "chat",
};

/** Returns the request handler of the caller port. */
export function createCallerHandler(
    options: CallerHandlerOptions,
): (request: http.IncomingMessage, response: http.ServerResponse, isAboveLimit: boolean) => void {
    return (request, response, isAboveLimit) => {
        const path = (request.url ?? "/").split("?")[0] ?? "/";
        if (path.startsWith("/health/")) {
            sendHealth(path, options.readiness(), response);
            return;
        }
        if (isAboveLimit) {
            sendRefusal(options, request, response, tooManyConnectionsFault(options));
            return;
        }
        handleCaller(options, request, response, path).catch((thrown: unknown) => {
            const message = thrown instanceof Error ? thrown.message : String(thrown);
            sendRefusal(options, request, response, {
                code: "internal",
                message,
                step: "parse",
                notRun: false,
            });
        });
    };
}

function sendHealth(path: string, readiness: Readiness, response: http.ServerResponse): void {
    if (path === "/health/live") {
        sendJson(response, 200, { live: true });
        return;
    }
    if (path === "/health/ready") {
        sendJson(response, readiness === "ready" ? 200 : 503, { ready: readiness === "ready", readiness });
        return;
    }
    sendJson(response, 404, { error: { code: "notFound", message: `path "${path}" does not exist` } });
}

async function handleCaller(
    options: CallerHandlerOptions,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    path: string,
): Promise<void> {
    const configuration = options.view.configuration();
    if (options.readiness() !== "ready" || configuration === undefined) {
        sendRefusal(options, request, response, notReadyFault(options));
        return;
    }
    const caller = options.credentials().authenticate(request.headers.authorization);
    if (!caller.success) {
        sendRefusal(options, request, response, caller.fault);
        return;
    }
    const limits = configuration.limits.requests;
    const body = await readCallerBody(request, limits.bodyBytes);
    if (!body.success) {
        sendRefusal(options, request, response, body.fault);
        return;
    }
    const form = completionPaths[path];
    if (form !== undefined && request.method === "POST") {
        dispatchCompletion(options, {
            caller: caller.data,
            request,
            response,
            form,
            text: body.data,
            limits,
        });
        return;
    }
    if (path.startsWith("/services/")) {
        await options.handleService({ caller: caller.data, request, response, body: body.data });
        return;
    }
    const message = `${request.method ?? "GET"} ${path} does not exist`;
    sendRefusal(options, request, response, { code: "notFound", message, step: "parse", notRun: true });
}

interface CompletionCall {
    readonly caller: CompletionExchange["caller"];
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly form: CompletionForm;
    readonly text: string;
    readonly limits: RequestLimits;
}

function dispatchCompletion(options: CallerHandlerOptions, call: CompletionCall): void {
    const { caller, request, response, form, text, limits } = call;
    const parsed = safeParseCompletion(form, text, limits.jsonDepth);
    const fault = parsed.success
        ? options.handleCompletion({ caller, body: parsed.data, headers: request.headers, response })
        : parsed.fault;
    if (fault !== undefined) {
        sendRefusal(options, request, response, fault);
    }
}

function tooManyConnectionsFault(options: CallerHandlerOptions): Fault {
    const retryAt = options.clock.monotonicMilliseconds() + notReadyRetryMilliseconds;
    const message = "this entry instance has too many connections";
    return { code: "overloaded", message, step: "admit", notRun: true, retryAt };
}

function notReadyFault(options: CallerHandlerOptions): Fault {
    const retryAt = options.clock.monotonicMilliseconds() + notReadyRetryMilliseconds;
    const isLeaving = options.readiness() === "leaving";
    const message = isLeaving
        ? "this entry instance is shutting down"
        : "this entry instance is not ready yet";
    const code = isLeaving ? "shuttingDown" : "storeUnavailable";
    return { code, message, step: isLeaving ? "shutdown" : "configure", notRun: true, retryAt };
}

/** Sends a fault at once; closes the connection afterwards if the request was not read to its end. */
function sendRefusal(
    options: CallerHandlerOptions,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fault: Fault,
): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    if (!request.complete && fault.code !== "cancelled") {
        sendFaultEarly(request, response, fault, options.clock);
        return;
    }
    sendFault(response, fault, options.clock);
}
