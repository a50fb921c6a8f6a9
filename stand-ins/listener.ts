/** HTTP listener that can be stopped, frozen, and restarted on its port. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Maximum size of a request body, in bytes. */
const maximumBodyBytes = 8 * 1024 * 1024;

/** Handles one request after its body has been read completely. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A listening port. While frozen, requests wait; while stopped, connections are refused. */
export class Listener {
    private readonly handler: RequestHandler;
    private readonly host: string;
    private port: number;
    private server: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private readonly pendingActions: (() => void)[] = [];
    private frozen = false;

    private constructor(host: string, port: number, handler: RequestHandler) {
        this.host = host;
        this.port = port;
        this.handler = handler;
    }

    /** Starts listening at `listen` ("host:port"; port 0 selects a free port). */
    public static async create(listen: string, handler: RequestHandler): Promise<Listener> {
        const [host, port] = listen.split(":");
        const listener = new Listener(host ?? "127.0.0.1", Number(port), handler);
        await listener.start();
        return listener;
    }

    public address(): string {
        return `${this.host}:${this.port}`;
    }

    public async start(): Promise<void> {
        if (this.server !== undefined) {
            return;
        }
        const server = createServer((request, response) => this.receive(request, response));
        this.server = server;
        server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port, this.host, resolve);
        });
        this.port = (server.address() as AddressInfo).port;
    }

    /** Refuses new connections and cuts open ones. */
    public stop(): void {
        this.server?.close();
        this.server = undefined;
        this.cutConnections();
    }

    public cutConnections(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.pendingActions.length = 0;
    }

    public isFrozen(): boolean {
        return this.frozen;
    }

    /** Freezes the listener, or unfreezes it and handles the requests that waited. */
    public setFrozen(frozen: boolean): void {
        this.frozen = frozen;
        if (!frozen) {
            this.pendingActions.splice(0).forEach(handle => handle());
        }
    }

    /** Queues an action to run when the listener is unfrozen. */
    public runWhenUnfrozen(action: () => void): void {
        this.pendingActions.push(action);
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        response.on("error", () => undefined);
        readBody(request, body => {
            if (this.frozen) {
                this.pendingActions.push(() => this.handler(request, response, body));
            } else {
                this.handler(request, response, body);
            }
        });
    }
}

function readBody(request: IncomingMessage, onBody: (body: string) => void): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on("error", () => undefined);
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maximumBodyBytes) {
            request.destroy();
        }
    });
    request.on("end", () => onBody(Buffer.concat(chunks).toString("utf8")));
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

/** Parses JSON; returns undefined if the text is invalid. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
}
