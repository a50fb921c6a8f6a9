/**
 * Requests to replicas over kept connections of Node's `http`. One request at a time uses a connection; a connection on
 * which bytes arrive while no request waits is closed, since its next answer could belong to somebody else.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clocks.js";
import { IdleLimits } from "./idle-limits.js";

/** Time in which a connection must be established, in milliseconds: several round trips of the widest link. */
const connectMilliseconds = 250;
/** Idle time up to which a connection takes a request that must not run twice, in milliseconds. */
const freshMilliseconds = 250;
/** Time after its reuse in which a connection that ends without an answer was dropped before, in milliseconds. */
const droppedMilliseconds = 15;

/** One request to a replica; header names and values in turn. */
export interface UpstreamRequest {
    readonly address: string;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** False if a connection that the replica may have dropped is no way to send it. */
    readonly isRepeatable: boolean;
}

/** What a request's owner is told. After `onEnd` or `onFailure` nothing follows. */
export interface UpstreamObserver {
    readonly onHead: (message: http.IncomingMessage) => void;
    readonly onData: (piece: Buffer) => void;
    /** The answer came whole, as its framing shows. */
    readonly onEnd: () => void;
    /** `mayHaveBeenSent` is false only if no byte of the request can have reached the replica. */
    readonly onFailure: (message: string, mayHaveBeenSent: boolean) => void;
}

/** A request on its way. */
export interface UpstreamCall {
    /** Ends the request and its connection; nothing more is told. */
    readonly cancel: () => void;
    readonly pause: () => void;
    readonly resume: () => void;
}

interface KeptSocket extends Socket {
    idleTimer?: NodeJS.Timeout;
    onIdleData?: () => void;
    /** Local monotonic milliseconds at which its last answer ended. */
    idleSince?: number;
}

class UpstreamAgent extends http.Agent {
    public constructor(
        options: http.AgentOptions,
        private readonly clock: Clock,
        private readonly idleLimits: IdleLimits,
    ) {
        super(options);
    }

    /** True if a kept connection waits for a request. */
    public get hasIdle(): boolean {
        return Object.values(this.freeSockets).some(sockets => (sockets?.length ?? 0) > 0);
    }

    /** Closes the connections that have been idle for longer than `milliseconds`. */
    public closeIdle(milliseconds: number): void {
        const since = this.clock.monotonicMilliseconds() - milliseconds;
        for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
            if (((socket as KeptSocket).idleSince ?? 0) <= since) {
                socket.destroy();
            }
        }
    }

    public override keepSocketAlive(socket: Socket): boolean {
        const kept = socket as KeptSocket;
        const message = (socket as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
        const now = this.clock.monotonicMilliseconds();
        const idleMilliseconds = this.idleLimits.allowed(announcedIdleTime(message?.res), now);
        if (idleMilliseconds <= 0 || socket.destroyed) {
            return false;
        }
        super.keepSocketAlive(socket);
        kept.idleSince = now;
        kept.onIdleData = () => socket.destroy();
        socket.once("data", kept.onIdleData);
        kept.idleTimer = setTimeout(() => socket.destroy(), idleMilliseconds);
        return true;
    }

    public override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        super.reuseSocket(socket, request);
        const kept = socket as KeptSocket;
        clearTimeout(kept.idleTimer);
        if (kept.onIdleData !== undefined) {
            socket.removeListener("data", kept.onIdleData);
        }
        this.watchReused(kept);
    }

    /** A connection that ends at once when it is used again had been dropped: the other idle ones are old, too. */
    private watchReused(socket: KeptSocket): void {
        const reusedAt = this.clock.monotonicMilliseconds();
        const idleMilliseconds = reusedAt - (socket.idleSince ?? reusedAt);
        const onData = (): void => {
            socket.removeListener("close", onClose);
        };
        const onClose = (): void => {
            socket.removeListener("data", onData);
            const now = this.clock.monotonicMilliseconds();
            if (now - reusedAt <= droppedMilliseconds) {
                this.idleLimits.noteDropped(idleMilliseconds, now);
                this.closeIdle(0);
            }
        };
        socket.once("data", onData);
        socket.once("close", onClose);
    }
}

/** Idle time-out that an answer announces, in milliseconds. */
function announcedIdleTime(message: http.IncomingMessage | undefined): number | undefined {
    const seconds = /timeout=(\d+)/i.exec(String(message?.headers["keep-alive"] ?? ""))?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** Connection pools, one for each incarnation of a replica. */
export class Upstreams {
    private readonly agents = new Map<string, UpstreamAgent>();
    private readonly idleLimits = IdleLimits.create();

    private constructor(
        public readonly clock: Clock,
        private readonly maximumConnections: (replica: string) => number,
    ) {}

    public static create(clock: Clock, maximumConnections: (replica: string) => number): Upstreams {
        return new Upstreams(clock, maximumConnections);
    }

    /** Returns the connections to a replica, for calls that are no caller's. */
    public agentOf(replica: string): http.Agent {
        return this.upstreamAgentOf(replica);
    }

    private upstreamAgentOf(replica: string): UpstreamAgent {
        const maximum = this.maximumConnections(replica);
        let agent = this.agents.get(replica);
        if (agent === undefined) {
            agent = new UpstreamAgent(
                { keepAlive: true, scheduling: "lifo", maxSockets: maximum, maxFreeSockets: maximum },
                this.clock,
                this.idleLimits,
            );
            this.agents.set(replica, agent);
        }
        // The part of each entry instance changes with their number.
        agent.maxSockets = maximum;
        agent.maxFreeSockets = maximum;
        return agent;
    }

    /** True if a kept connection to a replica waits for a request. */
    public hasIdle(replica: string): boolean {
        return this.agents.get(replica)?.hasIdle ?? false;
    }

    /** Closes the idle connections of replicas that are gone. */
    public keepOnly(replicas: ReadonlySet<string>): void {
        for (const [replica, agent] of this.agents) {
            if (!replicas.has(replica)) {
                this.agents.delete(replica);
                agent.closeIdle(0);
            }
        }
    }

    /** Sends one request. */
    public send(replica: string, outgoing: UpstreamRequest, observer: UpstreamObserver): UpstreamCall {
        const agent = this.upstreamAgentOf(replica);
        if (!outgoing.isRepeatable) {
            agent.closeIdle(freshMilliseconds);
        }
        return sendRequest(agent, outgoing, observer);
    }
}

function sendRequest(agent: http.Agent, outgoing: UpstreamRequest, observer: UpstreamObserver): UpstreamCall {
    const [host, port] = outgoing.address.split(":");
    const request = http.request({
        host,
        port: Number(port),
        method: outgoing.method,
        path: outgoing.target,
        headers: outgoing.headers as unknown as http.OutgoingHttpHeaders,
        agent,
    });
    const state = {
        settled: false,
        connected: false,
        closedCleanly: false,
        response: undefined as http.IncomingMessage | undefined,
    };
    const connectTimer = setTimeout(() => {
        request.destroy(new Error(`no connection after ${connectMilliseconds} ms`));
    }, connectMilliseconds);
    const settle = (tell: () => void): void => {
        if (!state.settled) {
            state.settled = true;
            clearTimeout(connectTimer);
            tell();
        }
    };
    const onConnected = (): void => {
        state.connected = true;
        clearTimeout(connectTimer);
    };
    request.once("socket", socket => {
        const onCleanEnd = (): void => {
            state.closedCleanly = true;
        };
        const onSocketError = (): void => {
            state.closedCleanly = false;
        };
        if (socket.connecting) {
            socket.once("connect", onConnected);
        } else {
            onConnected();
        }
        socket.setNoDelay(true);
        socket.on("end", onCleanEnd);
        socket.on("error", onSocketError);
        // A kept connection outlives its requests.
        request.once("close", () => {
            socket.removeListener("connect", onConnected);
            socket.removeListener("end", onCleanEnd);
            socket.removeListener("error", onSocketError);
        });
    });
    request.on("error", error => {
        // An error after a whole answer concerns the connection, not the answer.
        if (state.response?.complete !== true || !isFramed(state.response)) {
            settle(() => observer.onFailure(error.message, state.connected));
        }
    });
    request.once("response", response => {
        state.response = response;
        if (state.settled) {
            response.destroy();
            return;
        }
        response.on("error", error => settle(() => observer.onFailure(error.message, true)));
        response.on("data", (piece: Buffer) => {
            if (!state.settled) {
                observer.onData(piece);
            }
        });
        response.on("end", () => {
            const isWhole = response.complete && (isFramed(response) || state.closedCleanly);
            settle(() => (isWhole ? observer.onEnd() : observer.onFailure("the answer was cut off", true)));
        });
        response.on("close", () => settle(() => observer.onFailure("the connection was closed", true)));
        observer.onHead(response);
    });
    request.once("close", () =>
        settle(() => observer.onFailure("the connection was closed", state.connected)),
    );
    request.end(outgoing.body);
    return {
        cancel: () =>
            settle(() => {
                request.destroy();
            }),
        pause: () => state.response?.pause(),
        resume: () => state.response?.resume(),
    };
}

/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** True if the message itself shows its end; otherwise it ends with its connection. */
export function isFramed(message: http.IncomingMessage): boolean {
    const { headers, statusCode = 0 } = message;
    const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return hasLength || bodilessStatuses.has(statusCode);
}
