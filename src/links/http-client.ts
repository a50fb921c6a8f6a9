/**
 * HTTP requests with deadlines over Node's `http`. Outcomes distinguish a request that was never sent from one whose
 * response was lost after it may have been sent.
 */
import * as http from "node:http";
import type { Clock } from "../contracts/clocks.js";
import { ByteCollector } from "./byte-collector.js";
import { limitInterimResponses } from "./interim-responses.js";

/** One outgoing HTTP request. */
export interface HttpRequest {
    /** Host and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
    /** Time by which the head of the response must have arrived, in local monotonic milliseconds; the deadline if undefined. */
    readonly responseDeadline?: number | undefined;
}

/** A completely received HTTP response. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
}

/** "notSent": no byte of the request was written. "lost": the server may have received the request. */
export type HttpOutcome =
    | { readonly kind: "answered"; readonly response: HttpResponse }
    | { readonly kind: "notSent"; readonly message: string }
    | {
          readonly kind: "lost";
          readonly message: string;
          /** True if the peer's connection broke; false if this process ended the request. */
          readonly connectionLost: boolean;
      };

/** Clock, connection pool and limits that requests share. */
export interface HttpClient {
    readonly clock: Clock;
    /** Connection pool; if undefined, each request opens a connection of its own. */
    readonly agent?: http.Agent;
    /** Maximum length of a response body, in bytes; longer bodies fail the request. Each piece counts with its overhead. */
    readonly maximumBodyLength: number;
    /** True if the connection of a response may be reused; by default, of every complete response. */
    readonly isReusable?: (response: http.IncomingMessage) => boolean;
}

/** A request that has been opened and not yet been ended. */
export interface OpenedHttpRequest {
    readonly request: http.ClientRequest;
    /** True once bytes may have left this process. */
    readonly mayHaveBeenSent: () => boolean;
}

/** Opens a request and records whether its connection was established. */
export function openHttpRequest(client: HttpClient, outgoing: HttpRequest): OpenedHttpRequest {
    const [host, port] = outgoing.address.split(":");
    const length =
        outgoing.body === undefined ? {} : { "content-length": String(Buffer.byteLength(outgoing.body)) };
    const request = http.request({
        host,
        port: Number(port),
        method: outgoing.method,
        path: outgoing.path,
        headers: { ...outgoing.headers, ...length },
        agent: client.agent ?? false,
    });
    limitInterimResponses(request);
    let connected = false;
    request.on("socket", socket => {
        const recordConnected = (): void => {
            connected = true;
        };
        connected = !socket.connecting;
        socket.once("connect", recordConnected);
        request.once("close", () => socket.removeListener("connect", recordConnected));
        socket.setNoDelay(true);
    });
    return { request, mayHaveBeenSent: () => connected };
}

/** Sends one request and reads its whole response; never rejects. */
export function sendHttpRequest(client: HttpClient, outgoing: HttpRequest): Promise<HttpOutcome> {
    const { deadline, responseDeadline = deadline } = outgoing;
    const remainingUntil = (time: number): number => time - client.clock.monotonicMilliseconds();
    const remaining = remainingUntil(Math.min(deadline, responseDeadline));
    if (remaining <= 0) {
        return Promise.resolve({ kind: "notSent", message: "the deadline has passed" });
    }
    return new Promise(resolve => {
        let opened: OpenedHttpRequest;
        try {
            opened = openHttpRequest(client, outgoing);
        } catch (thrown) {
            // Node throws for an address, method or header that it cannot send.
            resolve({ kind: "notSent", message: `the request cannot be sent: ${String(thrown)}` });
            return;
        }
        const { request, mayHaveBeenSent } = opened;
        let hasEnded = false;
        const end = (): void => {
            hasEnded = true;
            request.destroy(new Error("the deadline has passed"));
        };
        let timer = setTimeout(end, remaining);
        const settle = (outcome: HttpOutcome): void => {
            clearTimeout(timer);
            resolve(outcome);
        };
        request.on("error", error => {
            const { message } = error;
            settle(
                mayHaveBeenSent()
                    ? { kind: "lost", message, connectionLost: !hasEnded }
                    : { kind: "notSent", message },
            );
        });
        request.on("response", response => {
            clearTimeout(timer);
            timer = setTimeout(end, remainingUntil(deadline));
            if (client.isReusable?.(response) === false) {
                request.shouldKeepAlive = false;
            }
            readMessageBody(response, client.maximumBodyLength).then(
                body =>
                    settle({
                        kind: "answered",
                        response: { status: response.statusCode ?? 0, headers: response.headers, body },
                    }),
                (error: Error) => {
                    const connectionLost = response.destroyed && !hasEnded;
                    request.destroy();
                    settle({ kind: "lost", message: error.message, connectionLost });
                },
            );
        });
        request.end(outgoing.body);
    });
}

/**
 * Reads a whole message body as UTF-8; rejects if it exceeds `maximumLength` bytes, where each piece counts with its overhead, or
 * ends early.
 */
export function readMessageBody(message: http.IncomingMessage, maximumLength: number): Promise<string> {
    return new Promise((resolve, reject) => {
        const body = ByteCollector.create();
        message.on("data", (chunk: Buffer) => {
            if (body.chargedBytes > maximumLength) {
                return;
            }
            body.add(chunk);
            if (body.chargedBytes > maximumLength) {
                reject(new Error(`the body is longer than ${maximumLength} bytes`));
            }
        });
        message.on("end", () => {
            if (message.complete) {
                resolve(body.take().toString("utf8"));
                return;
            }
            reject(new Error("the connection ended before the body was complete"));
        });
        message.on("error", reject);
        message.on("close", () =>
            reject(new Error("the connection was closed before the body was complete")),
        );
    });
}
