/**
 * Stand-in for a sound replica, written from the users' pages: runs requests, streams events, joins groups, serves reports and
 * registers itself. A case replaces single answers through `spoil`.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** One request as it arrived at the replica. */
export interface Arrival {
    readonly replica: string;
    readonly id: string;
    readonly method: string;
    readonly target: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

export interface ReplicaOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly slots: number;
    /** Fabric domain and model parameters of an engine; undefined for a plain service. */
    readonly engine?: { readonly domain: string; readonly loadMilliseconds: number };
    readonly workMilliseconds: number;
    /** Events of a stream and the interval between them. */
    readonly eventCount?: number;
    readonly eventMilliseconds?: number;
    /** Called with what happens, for the record. */
    readonly onRecord: (text: string) => void;
    /** Answers a request in place of the replica; returns false if the replica is to answer itself. */
    readonly spoil?: (arrival: Arrival, response: ServerResponse) => boolean;
}

interface Membership {
    readonly Name: string;
    readonly epoch: number;
    readonly rank: number;
    State: "joining" | "ready" | "open" | "closing";
    readonly members: readonly string[];
}

interface Order {
    readonly Operation: string;
    readonly group?: string;
    readonly epoch?: number;
    readonly Model?: string;
    readonly Members?: readonly string[];
}

/** Time from the acceptance of an open order until the head serves. */
const formMilliseconds = 50;

export class ReviewReplica {
    /** Ids of the requests that the replica began to run, in order. */
    public readonly runs: string[] = [];
    private membership: Membership | undefined;
    private model: string | undefined;
    private staged: string[] = [];
    private sequence = 0;
    private orders = 0;
    private highestEpoch = 0;
    private running = 0;
    private readonly queue: (() => void)[] = [];
    private readonly sockets = new Set<Socket>();
    /** Requests that wait on a connection for the answer to an earlier one. */
    private readonly waitingBySocket = new WeakMap<Socket, (() => void)[]>();
    private readonly born = Date.now();

    private constructor(
        public readonly options: ReplicaOptions,
        private readonly server: Server,
    ) {}

    public static async create(options: ReplicaOptions, port = 0): Promise<ReviewReplica> {
        const server = createServer({ keepAliveTimeout: 30_000 });
        const replica = new ReviewReplica(options, server);
        server.on("request", (request, response) => replica.receive(request, response));
        server.on("connection", socket => {
            replica.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => replica.sockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        return replica;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** The entry under `servers/ID`; each call counts as a heartbeat. */
    public registration(): Readonly<Record<string, unknown>> {
        this.sequence += 1;
        const { service, zone, slots } = this.options;
        return {
            Service: service,
            Address: this.address,
            Zone: zone,
            Version: 1,
            Slots: slots,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: this.sequence,
            born: this.born,
            ...this.engineState(),
        };
    }

    /** What a replica reports at once when it changes. */
    public describeState(): string {
        return JSON.stringify(this.engineState());
    }

    private engineState(): Readonly<Record<string, unknown>> {
        const { engine } = this.options;
        if (engine === undefined) {
            return {};
        }
        const { membership } = this;
        return {
            Stage: "prefill_decode",
            Models: this.model === undefined ? [] : [{ Name: this.model, Version: 1, Adapters: [] }],
            Staged: this.staged,
            Domain: engine.domain,
            ...(membership === undefined
                ? {}
                : {
                      group: {
                          Name: membership.Name,
                          epoch: membership.epoch,
                          rank: membership.rank,
                          State: membership.State,
                      },
                  }),
        };
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const pieces: Buffer[] = [];
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        request.on("data", (piece: Buffer) => pieces.push(piece));
        request.on("end", () => {
            const handle = (): void => this.handle(request, response, Buffer.concat(pieces).toString("utf8"));
            this.afterEarlierRequests(request.socket, response, handle);
        });
    }

    /** Handles the requests of a connection one at a time: each begins when the answer to the one before it has ended. */
    private afterEarlierRequests(socket: Socket, response: ServerResponse, handle: () => void): void {
        const waiting = this.waitingBySocket.get(socket);
        if (waiting !== undefined) {
            waiting.push(() => this.afterEarlierRequests(socket, response, handle));
            return;
        }
        const later: (() => void)[] = [];
        this.waitingBySocket.set(socket, later);
        response.once("close", () => {
            this.waitingBySocket.delete(socket);
            if (!socket.destroyed) {
                later.splice(0).forEach(next => next());
            }
        });
        handle();
    }

    private handle(request: IncomingMessage, response: ServerResponse, body: string): void {
        const expected = request.headers["chervilrouter-expect-instance"];
        if (expected !== undefined && expected !== this.options.id) {
            response.writeHead(421, { "Chervilrouter-Instance-Id": this.options.id }).end();
            return;
        }
        if (request.url === "/api/report") {
            sendJson(response, 200, {
                ...this.engineState(),
                born: this.born,
                Busy: this.membership?.State === "joining",
                Sequence: this.orders,
                Waiting: this.queue.length,
                Running: this.running,
                pace: 1,
            });
            return;
        }
        if (request.url === "/api/order") {
            this.handleOrder(JSON.parse(body) as Order, response);
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { "Chervilrouter-Instance-Id": this.options.id }).end();
            return;
        }
        const arrival: Arrival = {
            replica: this.options.id,
            id: String(request.headers["chervilrouter-request-id"]),
            method: request.method ?? "",
            target: request.url ?? "",
            headers: request.headers,
            body,
        };
        if (this.options.spoil?.(arrival, response) === true) {
            return;
        }
        if (this.options.engine !== undefined && this.membership?.State !== "open") {
            response.writeHead(421, { "Chervilrouter-Not-Executed": "1" }).end();
            return;
        }
        this.enqueue(arrival, response);
    }

    /** Runs a request as soon as a slot is free. */
    public enqueue(arrival: Arrival, response: ServerResponse): void {
        const start = (): void => {
            if (response.destroyed) {
                this.startNext();
                return;
            }
            this.running += 1;
            response.once("close", () => {
                this.running -= 1;
                this.startNext();
            });
            this.run(arrival, response);
        };
        if (this.running < this.options.slots) {
            start();
        } else {
            this.queue.push(start);
        }
    }

    private startNext(): void {
        if (this.running < this.options.slots) {
            this.queue.shift()?.();
        }
    }

    /** Head of a sound answer. */
    public sealedHeaders(arrival: Arrival): Record<string, string> {
        return {
            "Chervilrouter-Request-Id": arrival.id,
            "Chervilrouter-Response-Seal": `seal.${this.options.id}.${arrival.id}`,
        };
    }

    private run(arrival: Arrival, response: ServerResponse): void {
        this.runs.push(arrival.id);
        this.options.onRecord(`replica ${this.options.id} runs ${arrival.id}`);
        if (this.options.eventCount === undefined) {
            setTimeout(() => {
                const text = `answer to ${arrival.id} by ${this.options.id}`;
                response.writeHead(200, this.sealedHeaders(arrival)).end(text);
                this.options.onRecord(`replica ${this.options.id} has answered ${arrival.id} with 200`);
            }, this.options.workMilliseconds);
            return;
        }
        const first = Number(arrival.headers["last-event-id"] ?? 0) + 1;
        setTimeout(() => this.sendEvent(arrival, response, first), this.options.workMilliseconds);
    }

    private sendEvent(arrival: Arrival, response: ServerResponse, event: number): void {
        if (response.destroyed) {
            return;
        }
        if (!response.headersSent) {
            response.writeHead(200, { ...this.sealedHeaders(arrival), "Content-Type": "text/event-stream" });
        }
        if (event > (this.options.eventCount ?? 0)) {
            response.end();
            this.options.onRecord(`replica ${this.options.id} has ended the stream of ${arrival.id}`);
            return;
        }
        response.write(`id: ${event}\ndata: token ${event}\n\n`);
        setTimeout(() => this.sendEvent(arrival, response, event + 1), this.options.eventMilliseconds ?? 20);
    }

    private handleOrder(order: Order, response: ServerResponse): void {
        const answer = (status: number): void => {
            this.options.onRecord(
                `replica ${this.options.id} gets the order ${order.Operation} ${order.group ?? order.Model ?? ""} and answers ${status}`,
            );
            sendJson(response, status, {});
        };
        const isOwn = this.membership?.Name === order.group && this.membership?.epoch === order.epoch;
        switch (order.Operation) {
            case "join":
                answer(this.join(order, isOwn));
                return;
            case "open":
                answer(this.open(isOwn));
                return;
            case "close":
                if (!isOwn) {
                    answer(409);
                    return;
                }
                this.membership!.State = "ready";
                answer(200);
                return;
            case "leave":
                if (isOwn) {
                    this.membership = undefined;
                }
                answer(200);
                return;
            case "Stage":
                this.orders += 1;
                setTimeout(
                    () => (this.staged = [order.Model!]),
                    this.options.engine?.loadMilliseconds ?? 1_000,
                );
                answer(202);
                return;
            default:
                answer(400);
        }
    }

    private join(order: Order, isOwn: boolean): number {
        const { group, epoch, Model: model, Members: members } = order;
        if (isOwn) {
            return this.membership!.members.join() === members!.join() ? 200 : 412;
        }
        if (epoch! < this.highestEpoch) {
            return 412;
        }
        this.highestEpoch = epoch!;
        this.orders += 1;
        const isWarm = this.staged.includes(model!);
        const membership: Membership = {
            Name: group!,
            epoch: epoch!,
            rank: members!.indexOf(this.options.id),
            State: "joining",
            members: members!,
        };
        this.membership = membership;
        this.model = model;
        const delay = (this.options.engine?.loadMilliseconds ?? 1_000) / (isWarm ? 10 : 1);
        setTimeout(() => {
            if (this.membership === membership) {
                membership.State = "ready";
                this.staged = [model!];
            }
        }, delay);
        return 202;
    }

    private open(isOwn: boolean): number {
        const { membership } = this;
        if (!isOwn || membership === undefined || membership.rank !== 0 || membership.State === "joining") {
            return 409;
        }
        if (membership.State === "open") {
            return 200;
        }
        this.orders += 1;
        setTimeout(() => {
            if (this.membership === membership) {
                membership.State = "open";
            }
        }, formMilliseconds);
        return 202;
    }
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const text = JSON.stringify(value);
    response.writeHead(status, {
        "Content-Type": "application/json",
        "Content-Length": String(Buffer.byteLength(text)),
    });
    response.end(text);
}
