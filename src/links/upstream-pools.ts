/**
 * Requests to replicas over pooled keep-alive connections of Node's `http`. A connection carries one request at a time.
 * An idle connection that receives bytes is closed, since its next response could belong to another request.
 *
 * Each response is attributable to one send, also when a faulty replica repeats an earlier response: a connection carries the
 * sends of one request at most once, so a response that names the request answers that send; and a connection is not reused
 * after a response that names no request, so such a response is no copy of another one.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clocks.js";
import { detectReset } from "./connection-end.js";
import { IdleLimits } from "./idle-limits.js";
import { limitInterimResponses } from "./interim-responses.js";
import { ReadHold } from "./read-hold.js";

/** Time-out for establishing a connection: several round trips of the longest link. */
const connectTimeoutMilliseconds = 250;
/** Maximum idle time of a connection that is reused for a request that must not run twice. */
const maximumNonRetryableIdleMilliseconds = 250;
/** A reused connection that closes within this time without a response counts as dropped before its reuse. */
const droppedDetectionMilliseconds = 15;

/** One request to a replica. */
export interface UpstreamRequest {
    readonly address: string;
    readonly method: string;
    readonly target: string;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** False if the request must not be sent over a connection that the replica may already have dropped. */
    readonly isRetryable: boolean;
    /** True if no idle connection may be reused, since it may carry bytes of another response. */
    readonly needsNewConnection: boolean;
    /** Connections that have carried the request; a further send takes none of them, and adds its own. */
    readonly usedConnections: WeakSet<Socket>;
    /** Checked when a connection is available, right before the request is written to it. */
    readonly mayStart: () => boolean;
    /** True if the head of a response names the request that it answers. */
    readonly namesRequest: (message: http.IncomingMessage) => boolean;
}

/** How far a request got that has no complete response. */
export type Delivery =
    /** No byte can have reached the replica. */
    | "notSent"
    /** The reused connection closed at once, so the replica had probably dropped it before. */
    | "dropped"
    /** The replica may have run the request. */
    | "sent";

/** Callbacks of one request. None is called after `onEnd`, `onFailure` or `onWithheld`. */
export interface UpstreamObserver {
    /** Called right before the request is written; from then on, bytes of it may reach the replica. */
    readonly onWritten: () => void;
    readonly onHead: (message: http.IncomingMessage) => void;
    readonly onData: (chunk: Buffer) => void;
    /** The response is complete according to its framing. */
    readonly onEnd: () => void;
    readonly onFailure: (message: string, delivery: Delivery) => void;
    /** The request was not sent because `mayStart` returned false. */
    readonly onWithheld: () => void;
}

/** A request in flight. */
export interface UpstreamCall {
    /** Aborts the request and closes its connection; no callback follows. */
    readonly cancel: () => void;
    /** Stops reading the response while there is no room for more; what has been read already still arrives. */
    readonly pause: () => void;
    readonly resume: () => void;
    /** Defers reading the response as long as `remaining` returns more than 0 milliseconds, after which it is asked again. */
    readonly deferWhile: (remaining: () => number) => void;
}

interface PooledSocket extends Socket {
    idleTimer?: NodeJS.Timeout;
    onIdleData?: () => void;
    /** Local monotonic milliseconds at which the last response on this connection ended. */
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

    /** True if an idle connection is available. */
    public get hasIdleConnection(): boolean {
        return Object.values(this.freeSockets).some(sockets => (sockets?.length ?? 0) > 0);
    }

    /**
     * Runs `send` while the idle connections in `connections` are out of reach. If a new connection would exceed the limit,
     * one of them is closed.
     */
    public runWithout<Result>(connections: WeakSet<Socket>, send: () => Result): Result {
        const idleByName = this.freeSockets as NodeJS.Dict<Socket[]>;
        for (const [name, sockets = []] of Object.entries(idleByName)) {
            const hidden = sockets.filter(socket => connections.has(socket));
            if (hidden.length > 0) {
                const shown = sockets.filter(socket => !connections.has(socket));
                const openCount = sockets.length + (this.sockets[name]?.length ?? 0);
                if (shown.length === 0 && openCount >= this.maxSockets) {
                    hidden.shift()!.destroy();
                }
                idleByName[name] = shown;
                try {
                    return send();
                } finally {
                    idleByName[name] = [...hidden, ...(idleByName[name] ?? [])];
                }
            }
        }
        return send();
    }

    /** Closes the connections that have been idle for longer than `milliseconds`. */
    public closeIdleConnections(milliseconds: number): void {
        const idleBefore = this.clock.monotonicMilliseconds() - milliseconds;
        for (const socket of Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])) {
            if (((socket as PooledSocket).idleSince ?? 0) <= idleBefore) {
                socket.destroy();
            }
        }
    }

    public override keepSocketAlive(socket: Socket): boolean {
        const kept = socket as PooledSocket;
        const message = (socket as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
        const now = this.clock.monotonicMilliseconds();
        const idleMilliseconds = this.idleLimits.allowedIdleMilliseconds(
            announcedIdleTimeoutMilliseconds(message?.res),
            now,
        );
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
        const kept = socket as PooledSocket;
        clearTimeout(kept.idleTimer);
        if (kept.onIdleData !== undefined) {
            socket.removeListener("data", kept.onIdleData);
        }
        this.detectDroppedOnReuse(kept);
    }

    /**
     * Detects connections that close right after their reuse: the server had dropped them before. The other idle
     * connections are old, too, and are closed.
     */
    private detectDroppedOnReuse(socket: PooledSocket): void {
        const reusedAt = this.clock.monotonicMilliseconds();
        const idleMilliseconds = reusedAt - (socket.idleSince ?? reusedAt);
        const onData = (): void => {
            socket.removeListener("close", onClose);
        };
        const onClose = (): void => {
            socket.removeListener("data", onData);
            const now = this.clock.monotonicMilliseconds();
            if (now - reusedAt <= droppedDetectionMilliseconds) {
                this.idleLimits.recordDropped(idleMilliseconds, now);
                this.closeIdleConnections(0);
            }
        };
        socket.once("data", onData);
        socket.once("close", onClose);
    }
}

/** Idle time-out that a response announces in its Keep-Alive header, in milliseconds. */
function announcedIdleTimeoutMilliseconds(message: http.IncomingMessage | undefined): number | undefined {
    const seconds = /timeout=(\d+)/i.exec(String(message?.headers["keep-alive"] ?? ""))?.[1];
    return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** Connection pools, one per incarnation of a replica. */
export class UpstreamPools {
    private readonly agents = new Map<string, UpstreamAgent>();
    private readonly idleLimits = IdleLimits.create();

    private constructor(
        public readonly clock: Clock,
        private readonly maximumConnections: (replica: string) => number,
        private readonly onConnected: (replica: string) => void,
    ) {}

    /** `onConnected` is called with the replica when a new connection for a request is established. */
    public static create(
        clock: Clock,
        maximumConnections: (replica: string) => number,
        onConnected: (replica: string) => void = () => undefined,
    ): UpstreamPools {
        return new UpstreamPools(clock, maximumConnections, onConnected);
    }

    /** Returns the connection pool of a replica for requests that do not come from a caller. */
    public getAgent(replica: string): http.Agent {
        return this.getUpstreamAgent(replica);
    }

    private getUpstreamAgent(replica: string): UpstreamAgent {
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
        // Each entry instance's share of a replica's connections changes with the number of entry instances.
        agent.maxSockets = maximum;
        agent.maxFreeSockets = maximum;
        return agent;
    }

    /** True if an idle connection to the replica is available. */
    public hasIdleConnection(replica: string): boolean {
        return this.agents.get(replica)?.hasIdleConnection ?? false;
    }

    /** Removes the pools of all other replicas and closes their idle connections. */
    public keepOnly(replicas: ReadonlySet<string>): void {
        for (const [replica, agent] of this.agents) {
            if (!replicas.has(replica)) {
                this.agents.delete(replica);
                agent.closeIdleConnections(0);
            }
        }
    }

    /** Sends one request to a replica. */
    public send(replica: string, outgoing: UpstreamRequest, observer: UpstreamObserver): UpstreamCall {
        const agent = this.getUpstreamAgent(replica);
        if (outgoing.needsNewConnection) {
            agent.closeIdleConnections(0);
        } else if (!outgoing.isRetryable) {
            agent.closeIdleConnections(maximumNonRetryableIdleMilliseconds);
        }
        let call: UpstreamCall;
        const start = (): void => {
            try {
                call = agent.runWithout(outgoing.usedConnections, () =>
                    sendRequest(agent, outgoing, observer, this.clock, {
                        onNewConnection: () => this.onConnected(replica),
                        onUsedConnection: start,
                    }),
                );
            } catch (thrown) {
                // Node throws for an address, method or header that it cannot send.
                call = failLater(observer, `the request cannot be sent: ${String(thrown)}`);
            }
        };
        start();
        return {
            cancel: () => call.cancel(),
            pause: () => call.pause(),
            resume: () => call.resume(),
            deferWhile: remaining => call.deferWhile(remaining),
        };
    }
}

/** A call that fails without having been sent. */
function failLater(observer: UpstreamObserver, message: string): UpstreamCall {
    const timer = setImmediate(() => observer.onFailure(message, "notSent"));
    const ignore = (): void => undefined;
    return { cancel: () => clearImmediate(timer), pause: ignore, resume: ignore, deferWhile: ignore };
}

/** Callbacks of a send to its pool. */
interface ConnectionObserver {
    readonly onNewConnection: () => void;
    /** Called if the only connection to be had has carried the request before. It is closed, and nothing was sent. */
    readonly onUsedConnection: () => void;
}

function sendRequest(
    agent: http.Agent,
    outgoing: UpstreamRequest,
    observer: UpstreamObserver,
    clock: Clock,
    { onNewConnection, onUsedConnection }: ConnectionObserver,
): UpstreamCall {
    const [host, port] = outgoing.address.split(":");
    const request = http.request({
        host,
        port: Number(port),
        method: outgoing.method,
        path: outgoing.target,
        headers: outgoing.headers as unknown as http.OutgoingHttpHeaders,
        agent,
    });
    limitInterimResponses(request);
    const state = {
        settled: false,
        /** Local monotonic milliseconds at which the request was written; undefined before. */
        writtenAt: undefined as number | undefined,
        closedCleanly: false,
        response: undefined as http.IncomingMessage | undefined,
        hold: undefined as ReadHold | undefined,
    };
    const connectTimer = setTimeout(() => {
        request.destroy(new Error(`no connection was established within ${connectTimeoutMilliseconds} ms`));
    }, connectTimeoutMilliseconds);
    const settle = (notify: () => void): void => {
        if (!state.settled) {
            state.settled = true;
            clearTimeout(connectTimer);
            state.hold?.clear();
            notify();
        }
    };
    const onConnected = (socket: Socket): void => {
        if (checkStart()) {
            outgoing.usedConnections.add(socket);
            state.writtenAt = clock.monotonicMilliseconds();
            observer.onWritten();
            clearTimeout(connectTimer);
        }
    };
    const deliveryWithoutResponse = (): Delivery => {
        if (state.writtenAt === undefined) {
            return "notSent";
        }
        const isDropped =
            request.reusedSocket &&
            clock.monotonicMilliseconds() - state.writtenAt <= droppedDetectionMilliseconds;
        return isDropped ? "dropped" : "sent";
    };
    /** Returns false and ends the request, of which no byte was written, if it must not be sent any more. */
    const checkStart = (): boolean => {
        const mayStart = outgoing.mayStart();
        if (!mayStart) {
            request.destroy();
            settle(observer.onWithheld);
        }
        return mayStart;
    };
    request.once("socket", socket => {
        if (outgoing.usedConnections.has(socket) && !state.settled) {
            request.destroy();
            settle(onUsedConnection);
            return;
        }
        const onEnd = (): void => {
            detectReset(socket, isReset => {
                state.closedCleanly = !isReset;
            });
        };
        const onSocketError = (): void => {
            state.closedCleanly = false;
        };
        const onEstablished = (): void => {
            onNewConnection();
            onConnected(socket);
        };
        if (socket.connecting) {
            socket.once("connect", onEstablished);
        } else if (!socket.destroyed) {
            // The pool keeps a closed connection until its "close" event.
            onConnected(socket);
        }
        if (state.settled || request.destroyed) {
            return;
        }
        socket.setNoDelay(true);
        socket.prependListener("end", onEnd);
        socket.on("error", onSocketError);
        // A pooled connection outlives its requests, so the listeners must be removed.
        request.once("close", () => {
            socket.removeListener("connect", onEstablished);
            socket.removeListener("end", onEnd);
            socket.removeListener("error", onSocketError);
        });
    });
    request.on("error", error => {
        // An error after a complete response concerns only the connection.
        if (state.response?.complete !== true || !isSelfDelimited(state.response)) {
            const delivery = state.response === undefined ? deliveryWithoutResponse() : "sent";
            settle(() => observer.onFailure(error.message, delivery));
        }
    });
    request.once("response", response => {
        state.response = response;
        state.hold = ReadHold.of(response.socket);
        if (!outgoing.namesRequest(response)) {
            request.shouldKeepAlive = false;
        }
        if (state.settled) {
            response.destroy();
            return;
        }
        response.on("error", error => settle(() => observer.onFailure(error.message, "sent")));
        response.on("data", (chunk: Buffer) => {
            if (!state.settled) {
                observer.onData(chunk);
            }
        });
        response.on("end", () => {
            const isWhole = response.complete && (isSelfDelimited(response) || state.closedCleanly);
            settle(() =>
                isWhole ? observer.onEnd() : observer.onFailure("the response ended early", "sent"),
            );
        });
        response.on("close", () =>
            settle(() =>
                observer.onFailure("the connection was closed before the response was complete", "sent"),
            ),
        );
        observer.onHead(response);
    });
    request.once("close", () => {
        // A response that is paused may be complete; its own events follow.
        if (state.response === undefined) {
            const message = "the connection was closed before the response";
            settle(() => observer.onFailure(message, deliveryWithoutResponse()));
        }
    });
    request.end(outgoing.body);
    return {
        cancel: () =>
            settle(() => {
                request.destroy();
            }),
        pause: () => state.hold?.pause(),
        resume: () => state.hold?.resume(),
        deferWhile: remaining => state.hold?.deferWhile(remaining),
    };
}

/** Statuses of responses without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** True if headers or status determine where the body ends; otherwise it ends when the connection closes. */
export function isSelfDelimited(message: http.IncomingMessage): boolean {
    const { headers, statusCode = 0 } = message;
    const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return hasLength || bodilessStatuses.has(statusCode);
}
