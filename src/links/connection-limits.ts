/** Limits the connections of an HTTP server by an account that decides which one is closed for a further one. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../contracts/clocks.js";

/** Whether a further connection is accepted, and which one is closed for it. */
export type ConnectionDecision =
    { readonly kind: "accepted"; readonly closed: Socket | undefined } | { readonly kind: "refused" };

/** Account of the connections of one port. */
export interface ConnectionLedger {
    readonly accept: (connection: Socket, now: number) => ConnectionDecision;
    readonly startRequest: (connection: Socket) => void;
    readonly endRequest: (connection: Socket, now: number) => void;
    readonly remove: (connection: Socket) => void;
}

export interface ConnectionLimitOptions {
    readonly ledger: ConnectionLedger;
    readonly clock: Clock;
    /** Called with each connection that is closed or refused. */
    readonly onClosed: (reason: "connections" | "refusedConnection") => void;
}

/** Time for which a refused connection is kept so that its caller receives the refusal, in milliseconds. */
const refusedMilliseconds = 200;
/** Refused connections that are kept at the same time; further ones are reset. */
const maximumRefused = 32;

const refusal = [
    "HTTP/1.1 503 Service Unavailable",
    "Retry-After: 1",
    "Content-Length: 0",
    "Connection: close",
    "\r\n",
].join("\r\n");

/** Must be called before the server listens. */
export function limitConnections(server: Server, { ledger, clock, onClosed }: ConnectionLimitOptions): void {
    const now = (): number => clock.monotonicMilliseconds();
    let refused = 0;
    const refuse = (socket: Socket): void => {
        if (refused >= maximumRefused) {
            socket.resetAndDestroy();
            return;
        }
        refused += 1;
        socket.pause();
        socket.end(refusal);
        const timer = setTimeout(() => socket.destroy(), refusedMilliseconds);
        socket.once("close", () => {
            clearTimeout(timer);
            refused -= 1;
        });
    };
    // Precedes the listener of Node's HTTP classes, which would read a refused connection.
    server.prependListener("connection", (socket: Socket) => {
        const decision = ledger.accept(socket, now());
        if (decision.kind === "refused") {
            onClosed("refusedConnection");
            socket.on("error", () => undefined);
            refuse(socket);
            return;
        }
        socket.once("close", () => ledger.remove(socket));
        if (decision.closed !== undefined) {
            onClosed("connections");
            decision.closed.destroy();
        }
    });
    server.prependListener("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        ledger.startRequest(socket);
        response.once("close", () => ledger.endRequest(socket, now()));
    });
}
