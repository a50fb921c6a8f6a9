/** HTTP client of the demo: single calls and streamed completions over Node's `http`. */
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import { parseJson } from "../src/links/json.js";
import type { ServerSentEvent } from "../src/links/server-sent-event-parser.js";
import { ServerSentEventParser } from "../src/links/server-sent-event-parser.js";

const maximumEventLength = 1_000_000;
const agent = new Agent({ keepAlive: false });

/** One HTTP request to make. */
export interface Call {
    readonly method: string;
    /** Absolute URL. */
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMilliseconds?: number;
}

/** A whole response; status 0 means that none was received. */
export interface CallResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** The body as JSON, or undefined. */
    readonly json: unknown;
    /** Why no whole response was received. */
    readonly failure?: string;
}

const defaultTimeoutMilliseconds = 20_000;

/** Makes one call; never rejects. `onData` receives the body's pieces as they arrive. */
export function makeCall(call: Call, onData?: (text: string) => void): Promise<CallResponse> {
    return new Promise(resolve => {
        const parts: string[] = [];
        let received: IncomingMessage | undefined;
        let failure: string | undefined;
        const settle = (): void => {
            clearTimeout(timer);
            const body = parts.join("");
            resolve({
                status: received?.statusCode ?? 0,
                headers: received?.headers ?? {},
                body,
                json: parseJson(body),
                failure:
                    failure ??
                    (received?.complete === true
                        ? undefined
                        : "the connection closed before the end of the response"),
            });
        };
        const outgoing = request(call.url, { method: call.method, headers: call.headers, agent });
        const timer = setTimeout(
            () => outgoing.destroy(new Error("timeout")),
            call.timeoutMilliseconds ?? defaultTimeoutMilliseconds,
        );
        outgoing.on("error", error => {
            failure = error.message;
            if (received === undefined) {
                settle();
            }
        });
        outgoing.on("response", response => {
            received = response;
            response.setEncoding("utf8");
            response.on("data", (text: string) => {
                parts.push(text);
                onData?.(text);
            });
            response.on("error", error => {
                failure = error.message;
            });
            response.on("close", settle);
        });
        outgoing.end(call.body);
    });
}

/** The received part of a streamed completion. */
export interface StreamedAnswer {
    readonly status: number;
    readonly text: string;
    /** Offsets of the events, in order of arrival. */
    readonly offsets: readonly number[];
    /** True if the terminal event was received. */
    readonly isWhole: boolean;
    /** Code of an explicit error, before the stream or in it. */
    readonly errorCode?: string;
    readonly notRun?: boolean;
    /** Token with which another entry instance can resume the stream. */
    readonly resumeToken?: string;
    readonly failure?: string;
}

/** Returns the request headers of a subscriber with this credential. */
export function authorize(credential: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${credential}`, "content-type": "application/json" };
}

/** Reads the typed error of a response body; the fields are undefined if it has none. */
export function errorOf(json: unknown): { readonly code?: string; readonly notRun?: boolean } {
    const error = (json as { error?: { code?: string; notRun?: boolean } } | undefined)?.error;
    return { code: error?.code, notRun: error?.notRun };
}

/** Reads a streamed completion to its end; `onToken` is called with each offset and the text so far. */
export async function readStream(
    call: Call,
    onToken?: (offset: number, textSoFar: string) => void,
): Promise<StreamedAnswer> {
    const parser = ServerSentEventParser.create(maximumEventLength);
    const offsets: number[] = [];
    let text = "";
    let isWhole = false;
    let errorCode: string | undefined;
    let notRun: boolean | undefined;
    let resumeToken: string | undefined;
    const handleEvent = (event: ServerSentEvent): void => {
        if (event.data === "[DONE]") {
            isWhole = true;
        } else if (event.event === "error") {
            ({ code: errorCode, notRun } = errorOf(parseJson(event.data)));
        } else if (event.event === "resume-token") {
            resumeToken = (parseJson(event.data) as { token?: string } | undefined)?.token;
        } else if (event.id !== undefined) {
            offsets.push(Number(event.id));
            text += textOf(parseJson(event.data));
            onToken?.(Number(event.id), text);
        }
    };
    const response = await makeCall(call, piece => parser.push(piece).forEach(handleEvent));
    if (response.status !== 200) {
        ({ code: errorCode, notRun } = errorOf(response.json));
    }
    const token = resumeToken ?? headerText(response.headers["x-chervil-resume"]);
    const { status, failure } = response;
    return { status, text, offsets, isWhole, errorCode, notRun, resumeToken: token, failure };
}

function headerText(value: string | string[] | undefined): string | undefined {
    return typeof value === "string" ? value : undefined;
}

function textOf(chunk: unknown): string {
    const choice = (chunk as { choices?: readonly { text?: string; delta?: { content?: string } }[] })
        .choices?.[0];
    return choice?.text ?? choice?.delta?.content ?? "";
}

/** Creates an Idempotency-Key: a UUID of version 7. */
export function createIdempotencyKey(): string {
    const bytes = randomBytes(16);
    bytes.writeUIntBE(Date.now(), 0, 6);
    bytes[6] = (bytes[6]! & 0x0f) | 0x70;
    bytes[8] = (bytes[8]! & 0x3f) | 0x80;
    const digits = bytes.toString("hex");
    return [
        digits.slice(0, 8),
        digits.slice(8, 12),
        digits.slice(12, 16),
        digits.slice(16, 20),
        digits.slice(20),
    ].join("-");
}
