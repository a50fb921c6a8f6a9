/** Handles the HTTP calls of one engine instance. */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as z from "zod";
import type { BatchStream } from "./batch.js";
import type { Engine } from "./engine.js";
import { parseJson, sendJson } from "./listener.js";
import { StreamReader } from "./stream-reader.js";

const orderSchema = z.object({
    kind: z.enum(["load", "serve", "drain", "release"]),
    group: z.string(),
    epoch: z.number(),
    model: z.object({ model: z.string(), version: z.string() }),
    members: z.array(z.string()),
    remainingMilliseconds: z.number(),
});
const completionSchema = z.object({
    model: z.string(),
    prompt: z.string(),
    max_tokens: z.number().int().positive(),
});

/** Responds to the calls, and holds the readers of streams. */
export class EngineCalls {
    private readonly engine: Engine;
    private readonly readers = new Set<StreamReader>();

    private constructor(engine: Engine) {
        this.engine = engine;
    }

    public static create(engine: Engine): EngineCalls {
        return new EngineCalls(engine);
    }

    /** Writes the new tokens of a stream to its readers. */
    public writeTokens(stream: BatchStream): void {
        this.readers.forEach(reader => {
            if (reader.stream === stream) {
                reader.writeAvailable();
            }
        });
    }

    public cutReaders(): void {
        this.readers.forEach(reader => reader.cut());
    }

    public handleRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
        const url = new URL(request.url ?? "/", "http://engine");
        const stream = /^\/v1\/streams\/(.+)$/.exec(url.pathname)?.[1];
        if (stream !== undefined) {
            this.handleStreamRequest(request, response, decodeURIComponent(stream), url);
            return;
        }
        switch (`${request.method} ${url.pathname}`) {
            case "GET /probe":
                sendJson(response, 200, this.engine.report());
                break;
            case "POST /orders":
                this.handleOrder(response, body);
                break;
            case "POST /v1/completions":
                this.handleCompletion(request, response, body);
                break;
            case "GET /cache-events":
                sendJson(response, 200, { events: this.cacheEvents(Number(url.searchParams.get("after"))) });
                break;
            default:
                sendError(response, 404, "notFound", "unknown method or path");
        }
    }

    private handleStreamRequest(
        request: IncomingMessage,
        response: ServerResponse,
        id: string,
        url: URL,
    ): void {
        const stream = this.engine.batch.find(id);
        const attempt = Number(url.searchParams.get("attempt") ?? Infinity);
        if (request.method === "DELETE") {
            this.engine.batch.cancel(id, attempt);
            response.writeHead(204).end();
            return;
        }
        const from = Number(url.searchParams.get("from") ?? 0);
        if (stream === undefined || from < stream.request.fromOffset) {
            sendError(
                response,
                404,
                "notFound",
                "the stream does not exist or starts after the requested offset",
            );
            return;
        }
        stream.readerAttempt = Math.max(stream.readerAttempt, Number.isFinite(attempt) ? attempt : 0);
        this.attachReader(id, from, response);
    }

    private handleOrder(response: ServerResponse, body: string): void {
        const order = orderSchema.safeParse(parseJson(body));
        if (!order.success) {
            sendError(response, 400, "invalidRequest", order.error.message);
            return;
        }
        const isLate = order.data.remainingMilliseconds <= 0;
        const refusal = isLate
            ? "the order's deadline has passed"
            : this.engine.member.handleOrder(order.data, this.engine.options.now());
        if (refusal === undefined && order.data.kind === "release") {
            this.engine.batch.dropAll();
        }
        if (this.engine.isFaultOn("lostOrderAnswers")) {
            response.socket?.destroy();
            return;
        }
        const accepted = refusal === undefined;
        sendJson(response, accepted ? 200 : 409, {
            accepted,
            message: refusal,
            report: this.engine.report(),
        });
    }

    private handleCompletion(request: IncomingMessage, response: ServerResponse, body: string): void {
        const parsed = completionSchema.safeParse(parseJson(body));
        if (!parsed.success) {
            sendError(response, 400, "invalidRequest", parsed.error.message);
            return;
        }
        const header = (name: string): string => String(request.headers[`x-chervil-${name}`] ?? "");
        const refusal = this.refusalOf(header("group"), Number(header("epoch")), parsed.data.model);
        if (refusal !== undefined) {
            sendError(response, refusal.status, refusal.code, refusal.message);
            return;
        }
        const id = header("request");
        const attempt = Number(header("attempt"));
        if ((this.engine.batch.find(id)?.request.attempt ?? 0) > attempt) {
            sendError(response, 409, "staleEpoch", "a later attempt of the request is running");
            return;
        }
        this.engine.countAccepted(id, Number(header("epoch")));
        const fromOffset = Number(header("from-offset"));
        const remaining = Number(request.headers["x-chervil-remaining"] ?? Infinity);
        this.engine.batch.start({
            id,
            attempt,
            prompt: parsed.data.prompt,
            fromOffset,
            endOffset: parsed.data.max_tokens,
            priority: Number(header("priority")),
            deadline: this.engine.options.now() + remaining,
        });
        this.attachReader(id, fromOffset, response);
        this.engine.crashIfCausedBy(body);
    }

    private refusalOf(
        group: string,
        epoch: number,
        model: string,
    ): { readonly status: number; readonly code: string; readonly message: string } | undefined {
        const { member } = this.engine;
        if (member.group !== group || member.epoch !== epoch || member.model?.model !== model) {
            const message = `the instance is in group ${member.group} at epoch ${member.epoch}`;
            return { status: 409, code: "staleEpoch", message };
        }
        if (member.state !== "serving" || member.members[0] !== this.engine.options.id) {
            return {
                status: 503,
                code: "endpointFailed",
                message: `the instance is not the leader of a serving group: state ${member.state}`,
            };
        }
        return this.engine.batch.isFull()
            ? { status: 503, code: "overloaded", message: "the waiting queue of the engine is full" }
            : undefined;
    }

    private attachReader(id: string, fromOffset: number, response: ServerResponse): void {
        const stream = this.engine.batch.find(id);
        if (stream === undefined) {
            sendError(
                response,
                404,
                "notFound",
                "the stream does not exist or starts after the requested offset",
            );
            return;
        }
        const reader = StreamReader.create(stream, fromOffset, response, {
            isSilent: () => this.engine.isFaultOn("paused") || this.engine.isFaultOn("cut"),
            isDoubled: () => this.engine.isFaultOn("doubledEvents"),
            isReordered: () => this.engine.isFaultOn("reorderedEvents"),
        });
        this.readers.add(reader);
        this.engine.batch.setHasReader(stream, true);
        response.once("close", () => {
            this.readers.delete(reader);
            const isRead = [...this.readers].some(other => other.stream === stream);
            this.engine.batch.setHasReader(stream, isRead);
        });
        reader.writeAvailable();
    }

    private cacheEvents(after: number): readonly unknown[] {
        const events = this.engine.cache.eventsAfter(after, this.engine.options.now());
        return events.map(({ sequence, kind, block }) => ({ sequence, kind, block }));
    }
}

/** Sends an error response for a call that was not run. */
export function sendError(response: ServerResponse, status: number, code: string, message: string): void {
    sendJson(response, status, { error: { code, message, step: "stream", notRun: true } });
}
