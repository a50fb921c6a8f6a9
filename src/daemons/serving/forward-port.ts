/** HTTP port on which a process takes requests that other entry instances forward to it. */
import { timingSafeEqual } from "node:crypto";
import * as http from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../../contracts/clocks.js";
import type { ConnectionLedger } from "../../links/connection-limits.js";
import { limitConnections } from "../../links/connection-limits.js";
import type { PartLogger } from "../../links/logs.js";
import { ServerDrain } from "../../links/server-drain.js";
import type { AdmittedRequest } from "../../serving/exchange-context.js";
import { decodeForwardedRequest, forwardReplyHeaders } from "../../serving/forwarded-requests.js";
import { MeteredBody } from "../../serving/memory/metered-body.js";
import type { ProcessMemory } from "../../serving/memory/process-memory.js";
import type { SharedReadPace } from "../../serving/read-pace.js";
import type { RouteTable } from "../../serving/serving-configuration.js";

/** Maximum length of the description that precedes the body of a forwarded request, in bytes. */
const maximumDescriptionBytes = 512 * 1024;
/** Maximum number of forwarded requests that a process serves at the same time. */
const maximumOpenRequests = 512;
/** Idle time after which a connection from another entry instance is closed, in milliseconds. */
const idleTimeoutMilliseconds = 15_000;
/** Time-outs for the head of a forwarded request and for all of it, in milliseconds; the sender has it whole when it begins. */
const headTimeoutMilliseconds = 3_000;
const requestTimeoutMilliseconds = 10_000;
/** Interval between two checks for connections that exceed their time-outs, in milliseconds. */
const slowConnectionCheckIntervalMilliseconds = 500;

export interface ForwardPortOptions {
    /** Host and port. */
    readonly address: string;
    /** What the sender must state; it is known from this process's registration. */
    readonly secret: string;
    readonly clock: Clock;
    readonly memory: ProcessMemory;
    readonly readPace: SharedReadPace;
    readonly connections: ConnectionLedger;
    readonly table: () => RouteTable | undefined;
    /** True if this process can serve requests for a service now. */
    readonly canServe: (service: string) => boolean;
    /** Called with each request that is served. */
    readonly onRequest: () => void;
    readonly serve: (admitted: AdmittedRequest, response: ServerResponse) => void;
    readonly log: PartLogger;
}

export class ForwardPort {
    private readonly server: http.Server;
    private readonly drain: ServerDrain;
    private openRequests = 0;

    private constructor(private readonly options: ForwardPortOptions) {
        this.server = http.createServer(
            { connectionsCheckingInterval: slowConnectionCheckIntervalMilliseconds },
            (message, response) => this.handle(message, response),
        );
        this.server.headersTimeout = headTimeoutMilliseconds;
        this.server.requestTimeout = requestTimeoutMilliseconds;
        limitConnections(this.server, {
            ledger: options.connections,
            clock: options.clock,
            onClosed: reason => options.memory.recordClosure(reason, { port: "forwarded" }),
        });
        this.server.keepAliveTimeout = idleTimeoutMilliseconds;
        this.server.on("error", error =>
            options.log.error("port for forwarded requests failed", {
                address: options.address,
                reason: error.message,
            }),
        );
        this.drain = ServerDrain.create(this.server, () => options.clock.monotonicMilliseconds());
    }

    /** Creates the port and starts to listen. */
    public static create(options: ForwardPortOptions): ForwardPort {
        const port = new ForwardPort(options);
        const [host, number] = options.address.split(":");
        port.server.listen(Number(number), host);
        return port;
    }

    /** True if no connection is open and no further one is accepted. */
    public get isDrained(): boolean {
        return this.drain.isDrained;
    }

    /** Closes the port and its connections as they fall quiet. */
    public close(): void {
        this.drain.start();
    }

    private handle(message: IncomingMessage, response: ServerResponse): void {
        response.on("error", error =>
            this.options.log.debug("writing the response to a forwarded request failed", {
                reason: error.message,
            }),
        );
        const table = this.options.table();
        if (!this.isAuthentic(message)) {
            this.options.log.warn("refused a forwarded request with another secret", {
                peer: message.socket.remoteAddress,
            });
            this.rejectUnread(message, response, "the secret is not that of this process");
            return;
        }
        const { memory, readPace, clock } = this.options;
        if (table === undefined || this.openRequests >= maximumOpenRequests || memory.isFull) {
            this.rejectUnread(message, response, "this entry instance cannot take the request now");
            return;
        }
        this.openRequests += 1;
        response.once("close", () => (this.openRequests -= 1));
        memory.follow(response);
        const rejectOnce = (reason: string): void => {
            if (!response.headersSent) {
                this.rejectUnread(message, response, reason);
            }
        };
        const body = MeteredBody.start({
            message,
            purpose: "forwarded",
            memory,
            readPace,
            clock,
            maximumBytes: table.configuration.limits.bodyBytes + maximumDescriptionBytes,
            sizeOf: ({ chargedBytes }) => chargedBytes,
            onComplete: bytes => this.admit(message, response, table, bytes, body),
            onTooLong: () => rejectOnce("the forwarded request cannot be read"),
            onClosed: () => rejectOnce("this entry instance has no memory for the request now"),
        });
        response.once("close", () => body.end());
    }

    private admit(
        message: IncomingMessage,
        response: ServerResponse,
        table: RouteTable,
        bytes: Buffer | undefined,
        body: MeteredBody,
    ): void {
        const now = this.options.clock.monotonicMilliseconds();
        const admitted = decodeForwardedRequest(bytes ?? Buffer.alloc(0), table, now);
        if (admitted === undefined) {
            this.reject(message, response, "the forwarded request cannot be read");
        } else if (table.findService(admitted.service) === undefined) {
            this.reject(message, response, "the service is not known yet");
        } else if (!this.options.canServe(admitted.service)) {
            this.reject(message, response, "this entry instance cannot reach the replicas either");
        } else {
            this.options.onRequest();
            this.options.serve(
                { ...admitted, recordBuffered: buffered => body.recordBuffered(buffered) },
                response,
            );
        }
    }

    private isAuthentic(message: IncomingMessage): boolean {
        const stated = Buffer.from(message.headers.authorization ?? "");
        const expected = Buffer.from(forwardAuthorization(this.options.secret));
        return stated.length === expected.length && timingSafeEqual(stated, expected);
    }

    /** Rejects a request that is still arriving, and closes its connection instead of reading the rest. */
    private rejectUnread(message: IncomingMessage, response: ServerResponse, reason: string): void {
        response.once("finish", () => message.complete || message.destroy());
        this.reject(message, response, reason);
    }

    private reject(message: IncomingMessage, response: ServerResponse, reason: string): void {
        message.resume();
        const body = JSON.stringify({ error: { message: reason, outcome: "unavailable" } });
        const length = ["Content-Length", String(Buffer.byteLength(body))];
        response.writeHead(503, [...forwardReplyHeaders(503, "unavailable", 0), ...length]);
        response.end(body);
    }
}

/** Value of the header by which the sender of a forwarded request shows that it can read the receiver's registration. */
export function forwardAuthorization(secret: string): string {
    return `Bearer ${secret}`;
}
