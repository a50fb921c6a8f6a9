/** The callers' HTTP port: bounds on connections, headers, bodies and time, so that slow callers pin little memory. */
import * as http from "node:http";
import * as https from "node:https";
import { readFileSync } from "node:fs";
import type { Fault, Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { ListeningServer } from "./admin-servers.js";
import { listenOn } from "./admin-servers.js";

const maximumHeaderBytes = 16_384;
/** Time between two looks at connections that are too slow, in milliseconds. */
const connectionCheckMilliseconds = 500;

/** Bounds of the callers' port. */
export interface CallerBounds {
    readonly connections: number;
    readonly headerMilliseconds: number;
    /** The longest time in which a whole request must have arrived. */
    readonly requestMilliseconds: number;
}

/** Where and how callers are served. */
export interface CallerServerOptions {
    readonly listen: string;
    readonly tls?: { readonly certificate: string; readonly key: string };
    readonly bounds: CallerBounds;
    readonly handle: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** The callers' port while it listens. */
export interface CallerServer extends ListeningServer {
    /** Puts other bounds in force for connections and requests from now on. */
    readonly applyBounds: (bounds: CallerBounds) => void;
}

/** Starts the callers' port; rejects if it is taken. */
export async function startCallerServer(options: CallerServerOptions): Promise<CallerServer> {
    const { bounds, tls, handle } = options;
    const serverOptions: http.ServerOptions = {
        maxHeaderSize: maximumHeaderBytes,
        connectionsCheckingInterval: connectionCheckMilliseconds,
        noDelay: true,
    };
    const server =
        tls === undefined
            ? http.createServer(serverOptions, handle)
            : https.createServer(
                  { ...serverOptions, cert: readFileSync(tls.certificate), key: readFileSync(tls.key) },
                  handle,
              );
    const applyBounds = (next: CallerBounds): void => {
        server.maxConnections = next.connections;
        server.headersTimeout = next.headerMilliseconds;
        server.requestTimeout = next.requestMilliseconds;
    };
    applyBounds(bounds);
    return { ...(await listenOn(server as http.Server, options.listen)), applyBounds };
}

function tooLarge(maximumBytes: number): Fault {
    const message = `the body is longer than ${maximumBytes} bytes`;
    return { code: "requestTooLarge", message, step: "parse", notRun: true };
}

/** Reads a request's body within a bound; the rest of an oversized body is dropped as it comes. */
export function readCallerBody(request: http.IncomingMessage, maximumBytes: number): Promise<Result<string>> {
    if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
        return Promise.resolve(fail(tooLarge(maximumBytes)));
    }
    return new Promise(resolve => {
        const parts: Buffer[] = [];
        let length = 0;
        request.on("data", (part: Buffer) => {
            length += part.length;
            if (length > maximumBytes) {
                resolve(fail(tooLarge(maximumBytes)));
                return;
            }
            parts.push(part);
        });
        request.on("end", () => resolve(succeed(Buffer.concat(parts).toString("utf8"))));
        const cutOff: Fault = {
            code: "cancelled",
            message: "the caller went away",
            step: "parse",
            notRun: true,
        };
        request.on("error", () => resolve(fail(cutOff)));
        request.on("close", () => resolve(fail(cutOff)));
    });
}
