/** Writes responses to completion requests in OpenAI's formats, as server-sent events or as one body. */
import type * as http from "node:http";
import type { Clock } from "../../contracts/clocks.js";
import type { Fault } from "../../core/errors.js";
import type { RequestId } from "../../core/requests.js";
import { sendJson } from "../../links/admin-server.js";
import { createFaultBody, sendFault } from "../../links/fault-responses.js";
import type { CompletionBody, CompletionForm } from "./completion-bodies.js";

/** Options of one response. */
export interface CompletionResponseOptions {
    readonly response: http.ServerResponse;
    readonly body: CompletionBody;
    readonly request: RequestId;
    readonly promptTokens: number;
    readonly clock: Clock;
    /** Called when every token below `offset` is written to the connection, or buffered for a response in one body. */
    readonly onTaken: (offset: number) => void;
    /** Called once if the caller disconnects before the response ends. */
    readonly onDisconnect: () => void;
}

const finishReasons = { stop: "stop", length: "length" } as const;

/** The response to one caller; ends exactly once. */
export class CompletionResponse {
    private bufferedText = "";
    private resumeToken: string | undefined;
    private isEnded = false;

    private constructor(private readonly options: CompletionResponseOptions) {
        options.response.on("close", () => {
            if (!this.isEnded) {
                this.isEnded = true;
                options.onDisconnect();
            }
        });
    }

    public static create(options: CompletionResponseOptions): CompletionResponse {
        return new CompletionResponse(options);
    }

    /** Sends the caller the token with which it can resume the stream at any entry instance. */
    public sendResumeToken(token: string): void {
        this.resumeToken = token;
        if (this.options.response.headersSent && this.options.body.stream && !this.isEnded) {
            this.options.response.write(`event: resume-token\ndata: ${JSON.stringify({ token })}\n\n`);
        }
    }

    public deliver(offset: number, text: string): void {
        if (this.isEnded) {
            return;
        }
        if (!this.options.body.stream) {
            this.bufferedText += text;
            this.options.onTaken(offset + 1);
            return;
        }
        this.startStream();
        const data = JSON.stringify(this.createChunk(text, undefined));
        this.options.response.write(`id: ${offset}\ndata: ${data}\n\n`, () =>
            this.options.onTaken(offset + 1),
        );
    }

    public finish(reason: "stop" | "length", nextOffset: number): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        if (!this.options.body.stream) {
            sendJson(this.options.response, 200, this.createBody(reason, nextOffset), this.headers());
            return;
        }
        this.startStream();
        this.options.response.write(
            `data: ${JSON.stringify(this.createChunk("", finishReasons[reason]))}\n\n`,
        );
        this.options.response.end("data: [DONE]\n\n");
    }

    /** Ends the response with a fault: an HTTP status before the first token, an error event after it. */
    public fail(fault: Fault): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        const { response, clock } = this.options;
        if (!response.headersSent) {
            sendFault(response, fault, clock);
            return;
        }
        response.end(`event: error\ndata: ${JSON.stringify(createFaultBody(fault, clock))}\n\n`);
    }

    /** Closes the connection without calling `onDisconnect`, because the caller has reconnected on another one. */
    public abandon(): void {
        this.isEnded = true;
        this.options.response.destroy();
    }

    private startStream(): void {
        if (this.options.response.headersSent) {
            return;
        }
        this.options.response.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            ...this.headers(),
        });
    }

    private headers(): Readonly<Record<string, string>> {
        const named = { "x-chervil-request": this.options.request };
        return this.resumeToken === undefined ? named : { ...named, "x-chervil-resume": this.resumeToken };
    }

    private createChunk(text: string, finishReason: string | undefined): unknown {
        const { request, body } = this.options;
        const choice = createChunkChoice(body.form, text, finishReason);
        return { id: request, object: objectTypeOf(body.form, true), model: body.model, choices: [choice] };
    }

    private createBody(reason: "stop" | "length", nextOffset: number): unknown {
        const { request, body, promptTokens } = this.options;
        const content =
            body.form === "chat"
                ? { message: { role: "assistant", content: this.bufferedText } }
                : { text: this.bufferedText };
        return {
            id: request,
            object: objectTypeOf(body.form, false),
            model: body.model,
            choices: [{ index: 0, ...content, finish_reason: finishReasons[reason] }],
            usage: {
                prompt_tokens: promptTokens,
                completion_tokens: nextOffset,
                total_tokens: promptTokens + nextOffset,
            },
        };
    }
}

function objectTypeOf(form: CompletionForm, isChunk: boolean): string {
    if (form === "chat") {
        return isChunk ? "chat.completion.chunk" : "chat.completion";
    }
    return "text_completion";
}

function createChunkChoice(form: CompletionForm, text: string, finishReason: string | undefined): unknown {
    const content = form === "chat" ? { delta: text === "" ? {} : { content: text } } : { text };
    return { index: 0, ...content, ...(finishReason === undefined ? {} : { finish_reason: finishReason }) };
}
