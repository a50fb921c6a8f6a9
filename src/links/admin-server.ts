/** The admin port of a daemon, which serves its status and its timeline events. */
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import type { Timeline } from "../core/timeline.js";
import { ServerDrain } from "./server-drain.js";
import { systemClock } from "./system-clock.js";

/** Data that the admin port serves. */
export interface AdminSource {
    readonly timeline: Timeline;
    readonly status: () => unknown;
}

/** A server that accepts connections. */
export interface ListeningServer {
    /** Host and port in use. */
    readonly address: string;
    /** Stops listening; resolves once every response is sent and every connection closed. */
    readonly close: () => Promise<void>;
}

/** Starts the admin port on host:port; port 0 takes a free one. */
export function startAdminServer(listen: string, source: AdminSource): Promise<ListeningServer> {
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://admin");
        if (request.method === "GET" && url.pathname === "/status") {
            sendJson(response, 200, source.status());
            return;
        }
        if (request.method === "GET" && url.pathname === "/events") {
            const after = Number(url.searchParams.get("after") ?? 0);
            sendJson(response, 200, source.timeline.page(Number.isFinite(after) ? after : 0));
            return;
        }
        sendJson(response, 404, {
            error: { code: "notFound", message: `path "${url.pathname}" does not exist` },
        });
    });
    return listenOn(server, listen);
}

/** Sends a complete response with a JSON body. */
export function sendJson(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(text);
}

/** Listens on host:port and resolves once connections are accepted; rejects if the port is taken. */
export function listenOn(server: http.Server, listen: string): Promise<ListeningServer> {
    const [host, port] = listen.split(":");
    const drain = ServerDrain.create(server, () => systemClock.monotonicMilliseconds());
    const close = (): Promise<void> => {
        drain.start();
        return drain.whenDrained;
    };
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => {
            const bound = server.address() as AddressInfo;
            resolve({ address: `${bound.address}:${bound.port}`, close });
        });
    });
}
