/** Closes an HTTP server without cutting a response off or leaving a request unread. */
import type * as http from "node:http";
import { Server as NetServer } from "node:net";
import type { Socket } from "node:net";
import { Server as TlsServer } from "node:tls";
import { ConnectionDrain } from "../core/connection-drain.js";

/** Interval between two checks for connections that can be closed once the server accepts none, in milliseconds. */
const drainIntervalMilliseconds = 10;

/** Follows the connections of a server, and closes them after `start`. */
export class ServerDrain {
    private readonly connections = new Set<Socket>();
    private readonly openResponses = new Map<http.ServerResponse, Socket>();
    private readonly connectionDrain = ConnectionDrain.create<Socket>();
    private acceptedConnections = 0;
    private isStarted = false;
    private onDrained: () => void = () => undefined;
    /** Resolves once the drain has ended. */
    public readonly whenDrained = new Promise<void>(resolve => (this.onDrained = resolve));

    private constructor(
        private readonly server: http.Server,
        private readonly now: () => number,
    ) {
        server.on(server instanceof TlsServer ? "secureConnection" : "connection", (socket: Socket) => {
            this.acceptedConnections += 1;
            this.connections.add(socket);
            socket.once("close", () => this.connections.delete(socket));
        });
        server.prependListener("request", ({ socket }, response) => {
            this.openResponses.set(response, socket);
            response.once("close", () => this.openResponses.delete(response));
            if (this.isStarted) {
                // A caller that goes on sending requests would keep its connection open.
                response.shouldKeepAlive = false;
            }
        });
    }

    /** Must be called before the server listens. `now`: local monotonic milliseconds. */
    public static create(server: http.Server, now: () => number): ServerDrain {
        return new ServerDrain(server, now);
    }

    /** True if no connection is open and no further one is accepted. */
    public get isDrained(): boolean {
        return !this.server.listening && this.connections.size === 0;
    }

    /**
     * Stops accepting connections once none waits to be accepted, and closes each connection on which no request is open or
     * waits to be read.
     */
    public start(): void {
        if (!this.isStarted) {
            this.isStarted = true;
            setImmediate(() => this.observe());
        }
    }

    /** Must be called by an immediate: it follows the poll that reads waiting requests and accepts connections. */
    private observe(): void {
        const busySockets = new Set(this.openResponses.values());
        const states = [...this.connections].map(
            socket =>
                [socket, { bytesRead: socket.bytesRead, hasOpenRequest: busySockets.has(socket) }] as const,
        );
        const { mayStopAccepting, quietConnections } = this.connectionDrain.observe({
            now: this.now(),
            acceptedConnections: this.acceptedConnections,
            connections: new Map(states),
        });
        if (mayStopAccepting && this.server.listening) {
            // The method of http.Server would also close connections whose requests have not been read.
            NetServer.prototype.close.call(this.server);
        }
        quietConnections.forEach(socket => socket.destroy());
        if (this.isDrained) {
            this.onDrained();
        } else if (this.server.listening) {
            setImmediate(() => this.observe());
        } else {
            setTimeout(() => setImmediate(() => this.observe()), drainIntervalMilliseconds);
        }
    }
}
