/**
 * The HTTP server for callers. Connections, headers, bodies and times are limited, so that slow callers hold little
 * memory.
 */
import * as http from "node:http";
import * as https from "node:https";
import type { Socket } from "node:net";
import { readFileSync } from "node:fs";
import type { Fault, Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { ListeningServer } from "./admin-server.js";
import { listenOn } from "./admin-server.js";
import { ByteCollector } from "./byte-collector.js";

const maximumHeaderBytes = 16_384;
/** Interval of the check for connections that exceed their time-outs. */
const connectionCheckIntervalMilliseconds = 500;

/** Connections above the limit that are accepted so that their requests get a response; more are reset. */
const refusedConnections = 1_024;

/** Limits of the callers' port. */
export interface CallerServerLimits {
    /** Requests on further connections are to be refused. */
    readonly connections: number;
    readonly headerMilliseconds: number;
    /** Time-out for receiving a whole request. */
    readonly requestMilliseconds: number;
}

/** Options of the callers' port. */
export interface CallerServerOptions {
    readonly listen: string;
    readonly tls?: { readonly certificate: string; readonly key: string };
    readonly limits: CallerServerLimits;
    /** `isAboveLimit`: the connection exceeds the limit; it is closed after the response. */
    readonly handle: (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        isAboveLimit: boolean,
    ) => void;
}

/** The listening server for callers. */
export interface CallerServer extends ListeningServer {
    /** Applies new limits to later connections and requests. */
    readonly applyLimits: (bounds: CallerServerLimits) => void;
}

/** Starts the server for callers; rejects if the port is in use. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
    const { limits: initialLimits, tls } = options;
    const accepted = new Set<Socket>();
    const aboveLimit = new WeakSet<Socket>();
    let { connections } = initialLimits;
    const handle = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const isAboveLimit = aboveLimit.has(request.socket);
        if (isAboveLimit) {
            response.shouldKeepAlive = false;
        }
        options.handle(request, response, isAboveLimit);
    };
    const serverOptions: http.ServerOptions = {
        maxHeaderSize: maximumHeaderBytes,
        connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
        noDelay: true,
    };
    const server =
        tls === undefined
            ? http.createServer(serverOptions, handle)
            : https.createServer(
                  { ...serverOptions, cert: readFileSync(tls.certificate), key: readFileSync(tls.key) },
                  handle,
              );
    server.on(tls === undefined ? "connection" : "secureConnection", (socket: Socket) => {
        if (accepted.size >= connections) {
            aboveLimit.add(socket);
            return;
        }
        accepted.add(socket);
        socket.once("close", () => accepted.delete(socket));
    });
    const setServerLimits = (limits: CallerServerLimits): void => {
        ({ connections } = limits);
        server.maxConnections = limits.connections + refusedConnections;
        server.headersTimeout = limits.headerMilliseconds;
        server.requestTimeout = limits.requestMilliseconds;
    };
    setServerLimits(initialLimits);
    return { ...(await listenOn(server as http.Server, options.listen)), applyLimits: setServerLimits };
}

function createTooLargeFault(maximumBytes: number): Fault {
    const message = `the body is longer than ${maximumBytes} bytes`;
    return { code: "requestTooLarge", message, step: "parse", notRun: true };
}

/** Reads a request's body up to `maximumBytes`; the rest of a larger body is received and discarded. */
export function readCallerBody(request: http.IncomingMessage, maximumBytes: number): Promise<Result<string>> {
    if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
        return Promise.resolve(fail(createTooLargeFault(maximumBytes)));
    }
    return new Promise(resolve => {
        const body = ByteCollector.create();
        request.on("data", (chunk: Buffer) => {
            if (body.length > maximumBytes) {
                return;
            }
            body.add(chunk);
            if (body.length > maximumBytes) {
                resolve(fail(createTooLargeFault(maximumBytes)));
            }
        });
        request.on("end", () => resolve(succeed(body.take().toString("utf8"))));
        const disconnected: Fault = {
            code: "cancelled",
            message: "the caller went away",
            step: "parse",
            notRun: true,
        };
        request.on("error", () => resolve(fail(disconnected)));
        request.on("close", () => resolve(fail(disconnected)));
    });
}
