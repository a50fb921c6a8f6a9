/** Token streams of engines as observables with backpressure. */
import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { Observable } from "rxjs";
import type { Subscriber } from "rxjs";
import type { EngineDispatch, EngineEvent } from "../contracts/engines.js";
import type { Fault } from "../core/errors.js";
import { finishedSchema, refusalSchema, tokenSchema } from "./endpoint-schemas.js";
import type { HttpClient, HttpRequest } from "./http-client.js";
import { openHttpRequest, readMessageBody } from "./http-client.js";
import { parseJson } from "./json.js";
import type { ServerSentEvent } from "./server-sent-event-parser.js";
import { ServerSentEventParser } from "./server-sent-event-parser.js";

const maximumEventLength = 100_000;
const maximumRefusalLength = 10_000;

/**
 * Opens or resumes the stream of one attempt. Faults are emitted as events of kind "failed"; their `notRun` is true only
 * if the request was never sent or the engine reported that it did not run the request. Unsubscribing closes the
 * connection but leaves the stream running on the engine.
 */
export function openEngineStream(
    client: HttpClient,
    mode: "start" | "resume",
    dispatch: EngineDispatch,
    paused?: Observable<boolean>,
): Observable<EngineEvent> {
    return new Observable(subscriber => {
        const outgoing = mode === "start" ? startRequest(client, dispatch) : resumeRequest(dispatch);
        const { request, mayHaveBeenSent } = openHttpRequest(client, outgoing);
        const connection = StreamConnection.create(dispatch.leader.id, subscriber);
        request.on("error", error =>
            mayHaveBeenSent() ? connection.lose(error.message) : connection.fail(error.message, true),
        );
        request.on("response", response => connection.handleResponse(response, paused));
        request.end(outgoing.body);
        return () => {
            connection.close();
            request.destroy();
        };
    });
}

function startRequest(client: HttpClient, dispatch: EngineDispatch): HttpRequest {
    const { request, attempt, group, epoch, leader, delivered, fromOffset } = dispatch;
    const remaining = Math.max(0, Math.floor(request.deadline - client.clock.monotonicMilliseconds()));
    return {
        address: leader.address,
        method: "POST",
        path: "/v1/completions",
        headers: {
            "content-type": "application/json",
            "x-chervil-request": request.id,
            "x-chervil-attempt": String(attempt),
            "x-chervil-group": group,
            "x-chervil-epoch": String(epoch),
            "x-chervil-priority": String(request.priority),
            "x-chervil-from-offset": String(fromOffset),
            "x-chervil-remaining": String(remaining),
        },
        body: JSON.stringify({
            model: request.model,
            prompt: request.prompt + delivered,
            max_tokens: request.maximumTokens,
            stream: true,
        }),
        deadline: request.deadline,
    };
}

function resumeRequest(dispatch: EngineDispatch): HttpRequest {
    const { request, leader, fromOffset, attempt } = dispatch;
    return {
        address: leader.address,
        method: "GET",
        path: `/v1/streams/${encodeURIComponent(request.id)}?from=${fromOffset}&attempt=${attempt}`,
        deadline: request.deadline,
    };
}

/** Converts the bytes of one response to events; ends exactly once. */
class StreamConnection {
    private readonly parser = ServerSentEventParser.create(maximumEventLength);
    private readonly decoder = new StringDecoder("utf8");
    private ended = false;
    private stopFlowControl: () => void = () => undefined;

    private constructor(
        private readonly peer: string,
        private readonly subscriber: Subscriber<EngineEvent>,
    ) {}

    public static create(peer: string, subscriber: Subscriber<EngineEvent>): StreamConnection {
        return new StreamConnection(peer, subscriber);
    }

    public handleResponse(response: IncomingMessage, paused: Observable<boolean> | undefined): void {
        if (response.statusCode !== 200) {
            this.handleRefusal(response);
            return;
        }
        this.subscriber.next({ kind: "accepted" });
        response.on("data", (chunk: Buffer) => this.handleChunk(chunk));
        response.on("error", error => this.lose(error.message));
        response.on("close", () => this.lose("the stream ended without its terminal event"));
        const flow = paused?.subscribe(isPaused => (isPaused ? response.pause() : response.resume()));
        this.stopFlowControl = () => flow?.unsubscribe();
    }

    public fail(message: string, notRun: boolean): void {
        this.endWith({ code: "endpointFailed", message, step: "stream", peer: this.peer, notRun });
    }

    /** Ends the events after the engine's connection broke. */
    public lose(message: string): void {
        const fault = { code: "endpointFailed", message, step: "stream", peer: this.peer } as const;
        this.endWith({ ...fault, notRun: false, connectionLost: true });
    }

    public close(): void {
        this.ended = true;
        this.stopFlowControl();
    }

    private handleRefusal(response: IncomingMessage): void {
        const status = response.statusCode ?? 0;
        readMessageBody(response, maximumRefusalLength).then(
            body => {
                const parsed = refusalSchema.safeParse(parseJson(body));
                const notRun = parsed.success && parsed.data.error.notRun;
                const code = status === 409 ? "staleEpoch" : status === 404 ? "notFound" : "endpointFailed";
                const detail = parsed.success ? parsed.data.error.message : "";
                const message = `responded with status ${status}: ${detail}`;
                this.endWith({ code, message, step: "stream", peer: this.peer, notRun });
            },
            (error: Error) => this.fail(error.message, false),
        );
    }

    private handleChunk(chunk: Buffer): void {
        try {
            for (const event of this.parser.push(this.decoder.write(chunk))) {
                this.handleEvent(event);
            }
        } catch (thrown) {
            this.fail(thrown instanceof Error ? thrown.message : String(thrown), false);
        }
    }

    private handleEvent(event: ServerSentEvent): void {
        if (this.ended) {
            return;
        }
        const data = parseJson(event.data);
        if (event.event === "finished") {
            this.handleFinished(data);
            return;
        }
        const token = tokenSchema.safeParse(data);
        if (!token.success) {
            this.fail(`token event is invalid: ${token.error.message}`, false);
            return;
        }
        this.subscriber.next({ kind: "token", offset: token.data.offset, text: token.data.text });
    }

    private handleFinished(data: unknown): void {
        const parsed = finishedSchema.safeParse(data);
        if (!parsed.success) {
            this.fail(`terminal event is invalid: ${parsed.error.message}`, false);
            return;
        }
        this.close();
        this.subscriber.next({ kind: "finished", ...parsed.data });
        this.subscriber.complete();
    }

    private endWith(fault: Fault): void {
        if (this.ended) {
            return;
        }
        this.close();
        this.subscriber.next({ kind: "failed", fault });
        this.subscriber.complete();
    }
}
