/** HTTP calls to the key-value service, with failover over its addresses in order and a deadline for each call. */
import { Agent, request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Clock } from "../contracts/clocks.js";
import { ByteCollector } from "./byte-collector.js";
import { limitInterimResponses } from "./interim-responses.js";

/** Header that identifies the calling process to the service. */
export const processHeader = "x-chervil-process";

/** Maximum size of a response body, in bytes; each piece counts with its overhead. */
const maximumResponseBytes = 64 * 1024 * 1024;

/** Addresses of the service and identity of the calling process. */
export interface StoreConnection {
    readonly addresses: readonly string[];
    readonly process: string;
    readonly clock: Clock;
    readonly agent: Agent;
}

/** Outcome of one call. `written` is false only if no byte of the request can have reached the service. */
export type StoreCallOutcome =
    | { readonly kind: "answered"; readonly status: number; readonly body: string; readonly address: string }
    | {
          readonly kind: "failed";
          readonly written: boolean;
          readonly message: string;
          readonly address: string;
      };

export function createStoreAgent(): Agent {
    return new Agent({ keepAlive: true });
}

/** Sends a POST with a JSON body. `onWritable` is called once the connection is established. */
export function openPost(
    connection: StoreConnection,
    address: string,
    path: string,
    body: unknown,
    onWritable: () => void,
): ClientRequest {
    const [host, port] = splitAddress(address);
    const text = JSON.stringify(body);
    const outgoing = request({
        host,
        port,
        path,
        method: "POST",
        agent: connection.agent,
        headers: {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            [processHeader]: connection.process,
        },
    });
    limitInterimResponses(outgoing);
    outgoing.once("socket", socket => {
        if (socket.connecting) {
            socket.once("connect", onWritable);
        } else {
            onWritable();
        }
    });
    outgoing.end(text);
    return outgoing;
}

/** Makes one call to one address; fails at the deadline (local monotonic milliseconds). */
export function callOnce(
    connection: StoreConnection,
    address: string,
    path: string,
    body: unknown,
    deadline: number,
): Promise<StoreCallOutcome> {
    return new Promise(resolve => {
        let written = false;
        const outgoing = openPost(connection, address, path, body, () => {
            written = true;
        });
        const remaining = Math.max(0, deadline - connection.clock.monotonicMilliseconds());
        const timer = setTimeout(
            () => outgoing.destroy(new Error("no response before the deadline")),
            remaining,
        );
        const fail = (error: Error): void => {
            clearTimeout(timer);
            resolve({ kind: "failed", written, message: `${address}: ${error.message}`, address });
        };
        outgoing.once("error", fail);
        outgoing.once("response", response => {
            readBody(response, fail, text => {
                clearTimeout(timer);
                resolve({ kind: "answered", status: response.statusCode ?? 0, body: text, address });
            });
        });
    });
}

function readBody(
    response: IncomingMessage,
    onError: (error: Error) => void,
    onText: (text: string) => void,
): void {
    const body = ByteCollector.create();
    response.on("data", (chunk: Buffer) => {
        body.add(chunk);
        if (body.chargedBytes > maximumResponseBytes) {
            response.destroy(new Error("the response exceeds the maximum size"));
        }
    });
    response.once("error", onError);
    response.once("end", () => onText(body.take().toString("utf8")));
    response.once("close", () => onError(new Error("the response ended early")));
}

/**
 * Tries a call at the addresses in order; each gets an equal part of the remaining time. After a failure the next
 * address is tried if the call is idempotent, otherwise only if nothing was written.
 */
export async function callWithFailover(
    connection: StoreConnection,
    path: string,
    body: unknown,
    deadline: number,
    isIdempotent: boolean,
): Promise<StoreCallOutcome> {
    let outcome: StoreCallOutcome = {
        kind: "failed",
        written: false,
        message: "the deadline has passed",
        address: connection.addresses[0] ?? "",
    };
    for (const [index, address] of connection.addresses.entries()) {
        const now = connection.clock.monotonicMilliseconds();
        if (now >= deadline) {
            return outcome;
        }
        const timeoutMilliseconds = (deadline - now) / (connection.addresses.length - index);
        outcome = await callOnce(connection, address, path, body, now + timeoutMilliseconds);
        const settled = outcome.kind === "answered" && outcome.status < 500;
        const canRetry = isIdempotent || (outcome.kind === "failed" && !outcome.written);
        if (settled || !canRetry) {
            return outcome;
        }
    }
    return outcome;
}

function splitAddress(address: string): readonly [string, number] {
    const colon = address.lastIndexOf(":");
    return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
