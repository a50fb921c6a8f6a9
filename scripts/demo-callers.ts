/** A caller of the demo: HTTP exchanges and streamed completions over Node's `http`. */
import { randomBytes } from "node:crypto";
import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import { parseJson } from "../src/links/json.js";
import type { ServerSentEvent } from "../src/links/server-sent-events.js";
import { ServerSentEventParser } from "../src/links/server-sent-events.js";

const maximumEventLength = 1_000_000;
const agent = new Agent({ keepAlive: false });

/** One call. */
export interface Call {
    readonly method: string;
    /** Base address and path. */
    readonly url: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly timeoutMilliseconds?: number;
}

/** A whole answer; status 0 means that there was none. */
export interface CallAnswer {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** The body as JSON, or undefined. */
    readonly json: unknown;
    /** Why there was no whole answer. */
    readonly failure?: string;
}

const defaultTimeoutMilliseconds = 20_000;

/** Makes one call; never rejects. `onData` sees the body as it arrives. */
export function makeCall(call: Call, onData?: (text: string) => void): Promise<CallAnswer> {
    return new Promise(resolve => {
        const parts: string[] = [];
        let answer: IncomingMessage | undefined;
        let failure: string | undefined;
        const settle = (): void => {
            clearTimeout(timer);
            const body = parts.join("");
            resolve({
                status: answer?.statusCode ?? 0,
                headers: answer?.headers ?? {},
                body,
                json: parseJson(body),
                failure: failure ?? (answer?.complete === true ? undefined : "the answer was cut off"),
            });
        };
        const outgoing = request(call.url, { method: call.method, headers: call.headers, agent });
        const timer = setTimeout(
            () => outgoing.destroy(new Error("timeout")),
            call.timeoutMilliseconds ?? defaultTimeoutMilliseconds,
        );
        outgoing.on("error", error => {
            failure = error.message;
            if (answer === undefined) {
                settle();
            }
        });
        outgoing.on("response", response => {
            answer = response;
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

/** What a caller has of a streamed completion. */
export interface StreamedAnswer {
    readonly status: number;
    readonly text: string;
    /** Offsets of the events, in order of arrival. */
    readonly offsets: readonly number[];
    /** True once the terminal event came. */
    readonly isWhole: boolean;
    /** Code of an explicit error, before the stream or in it. */
    readonly errorCode?: string;
    readonly notRun?: boolean;
    /** What another entry instance needs to go on. */
    readonly resumeToken?: string;
    readonly failure?: string;
}

/** Headers of a subscriber. */
export function authorize(credential: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${credential}`, "content-type": "application/json" };
}

/** The typed error of an answer, if it is one. */
export function errorOf(json: unknown): { readonly code?: string; readonly notRun?: boolean } {
    const error = (json as { error?: { code?: string; notRun?: boolean } } | undefined)?.error;
    return { code: error?.code, notRun: error?.notRun };
}

/** Reads a streamed completion to its end; `onToken` is told of each offset. */
export async function readStream(
    call: Call,
    onToken?: (offset: number, soFar: string) => void,
): Promise<StreamedAnswer> {
    const parser = ServerSentEventParser.create(maximumEventLength);
    const offsets: number[] = [];
    let text = "";
    let isWhole = false;
    let errorCode: string | undefined;
    let notRun: boolean | undefined;
    let resumeToken: string | undefined;
    const take = (event: ServerSentEvent): void => {
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
    const answer = await makeCall(call, piece => parser.push(piece).forEach(take));
    if (answer.status !== 200) {
        ({ code: errorCode, notRun } = errorOf(answer.json));
    }
    const token = resumeToken ?? headerText(answer.headers["x-chervil-resume"]);
    const { status, failure } = answer;
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

/** A new Idempotency-Key: a UUID of version 7. */
export function createKey(): string {
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
