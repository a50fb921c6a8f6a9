/** HTTP exchanges with deadlines, over Node's `http`, that tell "never sent" from "lost after sending". */
import * as http from "node:http";
import type { Clock } from "../contracts/clocks.js";

/** One request. */
export interface HttpRequest {
    /** Host and port. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
}

/** A whole answer. */
export interface HttpAnswer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
}

/** "notSent": no byte of the request was written. "lost": it may have been received. */
export type HttpOutcome =
    | { readonly kind: "answered"; readonly answer: HttpAnswer }
    | { readonly kind: "notSent"; readonly message: string }
    | { readonly kind: "lost"; readonly message: string };

/** What an exchange needs from the process. */
export interface HttpClient {
    readonly clock: Clock;
    /** Undefined opens a connection for each request. */
    readonly agent?: http.Agent;
    /** The longest answer body that is read, in characters. */
    readonly maximumBodyLength: number;
}

/** Observes a request on its way out. */
export interface OutgoingRequest {
    readonly request: http.ClientRequest;
    /** True once bytes may have left this process. */
    readonly mayHaveBeenSent: () => boolean;
}

/** Opens a request and notes whether its connection was established. */
export function openRequest(client: HttpClient, outgoing: HttpRequest): OutgoingRequest {
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
    let connected = false;
    request.on("socket", socket => {
        const noteConnected = (): void => {
            connected = true;
        };
        connected = !socket.connecting;
        socket.once("connect", noteConnected);
        request.once("close", () => socket.removeListener("connect", noteConnected));
        socket.setNoDelay(true);
    });
    return { request, mayHaveBeenSent: () => connected };
}

/** Sends one request and reads its whole answer; never rejects. */
export function exchange(client: HttpClient, outgoing: HttpRequest): Promise<HttpOutcome> {
    const remaining = outgoing.deadline - client.clock.monotonicMilliseconds();
    if (remaining <= 0) {
        return Promise.resolve({ kind: "notSent", message: "the deadline has passed" });
    }
    return new Promise(resolve => {
        const { request, mayHaveBeenSent } = openRequest(client, outgoing);
        const timer = setTimeout(() => request.destroy(new Error("the deadline has passed")), remaining);
        const settle = (outcome: HttpOutcome): void => {
            clearTimeout(timer);
            resolve(outcome);
        };
        request.on("error", error => {
            settle({ kind: mayHaveBeenSent() ? "lost" : "notSent", message: error.message });
        });
        request.on("response", response => {
            readBody(response, client.maximumBodyLength).then(
                body =>
                    settle({
                        kind: "answered",
                        answer: { status: response.statusCode ?? 0, headers: response.headers, body },
                    }),
                (error: Error) => {
                    request.destroy();
                    settle({ kind: "lost", message: error.message });
                },
            );
        });
        request.end(outgoing.body);
    });
}

/** Reads a whole body as text; rejects if it is longer than the bound or is cut off. */
export function readBody(message: http.IncomingMessage, maximumLength: number): Promise<string> {
    return new Promise((resolve, reject) => {
        const parts: Buffer[] = [];
        let length = 0;
        message.on("data", (part: Buffer) => {
            length += part.length;
            if (length > maximumLength) {
                reject(new Error(`the body is longer than ${maximumLength} bytes`));
                return;
            }
            parts.push(part);
        });
        message.on("end", () => {
            if (message.complete) {
                resolve(Buffer.concat(parts).toString("utf8"));
                return;
            }
            reject(new Error("the body was cut off"));
        });
        message.on("error", reject);
        message.on("close", () => reject(new Error("the connection was closed")));
    });
}
