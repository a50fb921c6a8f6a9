/** A loopback proxy that disturbs connections: it delays, resets or blocks them, or forwards one direction only. */
import { createServer, connect } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { detectReset } from "../../src/links/connection-end.js";

/** Fault of all connections of a link, in effect until it is changed. */
export type LinkFault = "none" | "delay" | "silent" | "requestsOnly" | "answersOnly";

const delayMilliseconds = 120;

interface ConnectionPair {
    readonly near: Socket;
    readonly far: Socket;
}

export class FaultyLink {
    public fault: LinkFault = "none";
    /** Number of connections that were accepted. */
    public accepted = 0;
    private port: number | undefined;
    private readonly pairs = new Set<ConnectionPair>();

    private constructor(
        private readonly server: Server,
        private readonly target: string,
    ) {}

    /** Listens on a free loopback port and forwards connections to `target` (`host:port`). */
    public static async create(target: string): Promise<FaultyLink> {
        const server = createServer();
        const link = new FaultyLink(server, target);
        server.on("connection", socket => link.accept(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return link;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Resets all open connections. */
    public reset(): void {
        for (const { near, far } of this.pairs) {
            resetSocket(near);
            resetSocket(far);
        }
    }

    /** Refuses new connections; open ones live on. */
    public refuse(): void {
        this.port = (this.server.address() as AddressInfo).port;
        this.server.close();
    }

    /** Accepts connections at the same address again. */
    public acceptAgain(): void {
        this.server.listen(this.port, "127.0.0.1");
    }

    public close(): void {
        this.server.close();
        this.reset();
    }

    private accept(near: Socket): void {
        this.accepted += 1;
        const [host, port] = this.target.split(":");
        const far = connect({ host, port: Number(port) });
        const pair = { near, far };
        this.pairs.add(pair);
        this.forward(near, far, "requestsOnly");
        this.forward(far, near, "answersOnly");
        near.once("close", () => this.pairs.delete(pair));
    }

    /** Forwards bytes, end, error and close; `allowedFault` is the one-way fault under which this direction still works. */
    private forward(from: Socket, to: Socket, allowedFault: LinkFault): void {
        let chain = Promise.resolve();
        const isBlocked = (): boolean => !["none", "delay", allowedFault].includes(this.fault);
        const enqueue = (run: () => void): void => {
            if (this.fault !== "delay") {
                chain = chain.then(run);
                return;
            }
            chain = chain
                .then(() => new Promise(resolve => setTimeout(resolve, delayMilliseconds)))
                .then(run);
        };
        from.on("data", chunk => enqueue(() => !isBlocked() && !to.destroyed && to.write(chunk)));
        from.prependListener("end", () =>
            detectReset(from, isReset =>
                enqueue(() => !isBlocked() && (isReset ? resetSocket(to) : to.end())),
            ),
        );
        from.on("error", () => enqueue(() => !isBlocked() && resetSocket(to)));
        from.on("close", () => enqueue(() => !isBlocked() && to.destroy()));
    }
}

/**
 * Resets a connection. Node.js never closes a socket that is reset while its end is still being sent, so such a socket
 * is destroyed instead.
 */
export function resetSocket(socket: Socket): void {
    if (socket.writableEnded) {
        socket.destroy();
    } else {
        socket.resetAndDestroy();
    }
}
