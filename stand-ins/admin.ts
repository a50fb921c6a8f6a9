/** The stand-ins' admin port: switches faults, and reports what the stand-ins have received. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as z from "zod";
import { answerTokens } from "./answer-tokens.js";
import type { Deployment } from "./deployment.js";
import { Listener, parseJson, sendJson } from "./listener.js";

/** All faults with their descriptions. */
export const faultDescriptions: Readonly<Record<string, string>> = {
    down: "platform: refuses connections",
    slow: "platform or one of its clients: calls are delayed (milliseconds)",
    lostAnswers: "platform, a client or a service: calls take effect, their responses are lost",
    lapsedLeases: "platform: all leases expire at once",
    watchGap: "platform: history is compacted and watches are cancelled",
    silentWatches: "platform or a client: watches stay open and deliver nothing",
    oldReads: "platform: reads return the state at the time of the switch",
    cut: "a platform client, engine or service: no traffic in either direction",
    paused: "platform, engine or service: frozen; incoming requests wait",
    killed: "engine or service: dead until the deadline, then restarted with a new incarnation",
    restarted: "engine or service: killed and restarted immediately",
    slowed: "engine: generates slowly",
    leaving: "engine or service: leaving; the instance list is updated later",
    cutStreams: "engine: connections of its streams are cut, the streams remain resumable",
    lostStreams: "engine: connections of its streams are cut, the streams are deleted",
    doubledEvents: "engine: each token is sent twice",
    reorderedEvents: "engine: adjacent tokens are swapped",
    ignoredFencing: "engine: orders with a stale fencing number are accepted",
    lostOrderAnswers: "engine: orders take effect, their responses are lost",
    crashing:
        "engine or service: dies when it begins to run a request whose path or body has the text, and restarts after milliseconds",
    refusals: "service: refuses with x-not-run",
    delayed: "service: calls run after a delay (milliseconds)",
    lateAnswers: "service: responses are delayed (milliseconds)",
};

/** Deadlines below this value are remaining milliseconds, others milliseconds since 1970. */
const minimumWallDeadline = 100_000_000_000;
const maximumAnswerTokens = 100_000;

const faultSchema = z.strictObject({
    target: z.string().min(1),
    fault: z.string().refine(name => name in faultDescriptions, {
        message: `expected one of ${Object.keys(faultDescriptions).join(", ")}`,
    }),
    /** Milliseconds since 1970 or remaining milliseconds; if absent the fault stays on, 0 switches it off. */
    deadline: z.number().nonnegative().optional(),
    milliseconds: z.number().nonnegative().optional(),
    text: z.string().min(1).optional(),
});

/** Clocks used to convert deadlines. */
export interface AdminClocks {
    readonly monotonicMilliseconds: () => number;
    readonly wallMilliseconds: () => number;
}

/** Opens the admin port at `listen` (`host:port`). */
export function createAdminPort(
    listen: string,
    deployment: Deployment,
    clocks: AdminClocks,
): Promise<Listener> {
    return Listener.create(listen, (request, response, body) =>
        handleAdminRequest(deployment, clocks, request, response, body),
    );
}

function handleAdminRequest(
    deployment: Deployment,
    clocks: AdminClocks,
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
): void {
    const url = new URL(request.url ?? "/", "http://stand-ins");
    switch (`${request.method} ${url.pathname}`) {
        case "GET /executions":
            sendJson(response, 200, deployment.executions.byKey());
            break;
        case "GET /engines":
            sendJson(
                response,
                200,
                deployment.engines.map(engine => engine.describe()),
            );
            break;
        case "GET /events":
            sendJson(response, 200, { process: "stand-ins", next: 0, events: deployment.events() });
            break;
        case "GET /services":
            sendJson(response, 200, {
                withoutKey: deployment.executions.withoutKey(),
                replicas: deployment.services.map(service => service.describe()),
            });
            break;
        case "GET /platform":
            sendJson(response, 200, deployment.platform().counts.report());
            break;
        case "GET /answer":
            sendAnswer(response, url.searchParams);
            break;
        case "GET /faults":
            sendJson(response, 200, { on: deployment.faults.list(), faults: faultDescriptions });
            break;
        case "POST /faults":
            switchFault(deployment, clocks, response, body);
            break;
        default:
            sendJson(response, 404, {
                error: { code: "notFound", message: "unknown method or path", notRun: true },
            });
    }
}

function sendAnswer(response: ServerResponse, query: URLSearchParams): void {
    const count = Math.min(maximumAnswerTokens, Number(query.get("tokens") ?? 16));
    const tokens = answerTokens(query.get("prompt") ?? "", count);
    sendJson(response, 200, { text: tokens.join(""), tokens });
}

function switchFault(
    deployment: Deployment,
    clocks: AdminClocks,
    response: ServerResponse,
    body: string,
): void {
    const parsed = faultSchema.safeParse(parseJson(body));
    if (!parsed.success) {
        sendInvalidRequest(response, parsed.error.issues.map(issue => issue.message).join("; "));
        return;
    }
    const { target, fault, deadline, milliseconds, text } = parsed.data;
    if (!deployment.targets().has(target)) {
        sendInvalidRequest(response, `target "${target}" does not exist`);
        return;
    }
    if (deadline === 0) {
        deployment.faults.switchOff(target, fault);
    } else {
        const local = toLocalDeadline(deadline, clocks);
        deployment.faults.switchOn({ target, fault, deadline: local, milliseconds, text });
    }
    sendJson(response, 200, { on: deployment.faults.list() });
}

function sendInvalidRequest(response: ServerResponse, message: string): void {
    sendJson(response, 400, { error: { code: "invalidRequest", message, step: "parse", notRun: true } });
}

function toLocalDeadline(deadline: number | undefined, clocks: AdminClocks): number {
    if (deadline === undefined) {
        return Infinity;
    }
    const remaining = deadline < minimumWallDeadline ? deadline : deadline - clocks.wallMilliseconds();
    return clocks.monotonicMilliseconds() + remaining;
}
