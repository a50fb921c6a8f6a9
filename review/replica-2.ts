/**
 * Stand-in for a replica of a plain service, or for an engine that is a group of one: registers itself, runs requests, and keeps
 * an account of what it received.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { StandInStore } from "../platform/stand-ins/store.js";
import { findPorts } from "../scripts/free-ports.js";

/** One request of a caller as it reached the replica. */
export interface Arrival {
    /** Wall-clock milliseconds. */
    readonly at: number;
    /** Start of the replica. */
    readonly born: number;
    readonly id: string;
    readonly method: string;
    readonly target: string;
    readonly rawHeaders: readonly string[];
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** "run", or the status with which it was turned away. */
    outcome: string;
}

export interface ReplicaOptions {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly store: StandInStore;
    readonly heartbeatMilliseconds: number;
    /** Model that the replica serves as a group of one; undefined for a replica of a plain service. */
    readonly model?: string;
}

/** The group that an engine is in. */
interface Membership {
    readonly Name: string;
    readonly epoch: number;
    readonly rank: number;
    State: "joining" | "ready" | "open" | "closing";
}

/** Body of an order. */
interface Order {
    readonly Operation: string;
    readonly group?: string;
    readonly epoch?: number;
    readonly Members?: readonly string[];
}

const missedHeartbeats = 3;
/** Time of a join of the model that was served last, of another join with staged weights, and of an opening. */
const rejoinMilliseconds = 200;
const warmMilliseconds = 1_600;
const openMilliseconds = 300;
const slots = 6;
const workMilliseconds = 30;

export class PlainReplica {
    public readonly arrivals: Arrival[] = [];
    public born = Date.now();
    /** True while the replica does not reach the store. */
    public isCutFromStore = false;
    public crashCount = 0;
    /** Headers of all answers. */
    public extraHeaders: () => Readonly<Record<string, string>> = () => ({});
    /** Handles a request instead of the usual run; returns true if it did. */
    public intercept: (arrival: Arrival, response: ServerResponse) => boolean = () => false;
    private sequence = 0;
    private orders = 0;
    private membership: Membership | undefined;
    private members = "";
    private highestEpoch = 1;
    private hasServed = true;
    private lastBeatAt = 0;
    private isListening = true;
    private readonly sockets = new Set<Socket>();
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly options: ReplicaOptions,
        private readonly server: Server,
        private readonly port: number,
    ) {
        if (options.model !== undefined) {
            this.membership = { Name: `g-${options.id}`, epoch: 1, rank: 0, State: "open" };
            this.members = options.id;
        }
        this.beat();
        this.timer = setInterval(() => this.tick(), options.heartbeatMilliseconds / 4);
    }

    public static async create(options: ReplicaOptions): Promise<PlainReplica> {
        const server = createServer({ keepAliveTimeout: 30_000, maxHeaderSize: 256 * 1024 });
        server.maxHeadersCount = 0;
        // A port that the system gives to outgoing connections could be taken while the replica is down.
        const port = await findPorts(1, undefined);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", resolve);
        });
        server.removeAllListeners("error");
        const replica = new PlainReplica(options, server, port);
        server.on("connection", socket => {
            replica.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => replica.sockets.delete(socket));
        });
        server.on("request", (request, response) => replica.receive(request, response));
        return replica;
    }

    public get id(): string {
        return this.options.id;
    }

    /** Resets all connections and is back as a later start under the same id; false if it is down already. */
    public crash(downMilliseconds: number): boolean {
        if (!this.isListening) {
            return false;
        }
        this.isListening = false;
        this.crashCount += 1;
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => {
            this.server.listen(this.port, "127.0.0.1", () => {
                this.isListening = true;
                this.born = Date.now();
                this.sequence = 0;
                this.orders = 0;
                this.membership = undefined;
                this.members = "";
                this.highestEpoch = 0;
                this.hasServed = false;
                this.beat();
            });
        }, downMilliseconds);
        return true;
    }

    public close(): void {
        clearInterval(this.timer);
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private tick(): void {
        const { heartbeatMilliseconds, store, id } = this.options;
        const silence = Date.now() - this.lastBeatAt;
        if (!this.isCutFromStore && this.isListening && silence >= heartbeatMilliseconds) {
            this.beat();
        } else if (silence >= missedHeartbeats * heartbeatMilliseconds) {
            store.remove(`servers/${id}`);
        }
    }

    private beat(): void {
        if (this.isCutFromStore) {
            return;
        }
        const { id, service, zone, store } = this.options;
        this.sequence += 1;
        this.lastBeatAt = Date.now();
        store.put(`servers/${id}`, {
            Service: service,
            Address: `127.0.0.1:${this.port}`,
            Zone: zone,
            Version: "v1",
            Slots: slots,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: this.sequence,
            ...this.report,
        });
    }

    /** What the replica says of itself in its registration and in its reports. */
    private get report(): Readonly<Record<string, unknown>> {
        const { model, zone } = this.options;
        return model === undefined
            ? { born: this.born }
            : {
                  born: this.born,
                  Stage: "prefill_decode",
                  Models: [{ Name: model, Version: 1, Adapters: [] }],
                  Staged: [model],
                  Domain: zone,
                  group: this.membership,
              };
    }

    /** Carries out an order to an engine; returns the status of the reply. */
    private obey({ Operation, group = "", epoch = 0, Members = [] }: Order): number {
        const { membership } = this;
        if (Operation === "Stage") {
            return 200;
        }
        if (Operation === "join") {
            const members = Members.join(" ");
            const isSame = membership?.Name === group && membership.epoch === epoch;
            if (epoch < this.highestEpoch || (isSame && members !== this.members)) {
                return 412;
            }
            if (isSame) {
                return 200;
            }
            this.highestEpoch = epoch;
            this.members = members;
            const joined: Membership = {
                Name: group,
                epoch,
                rank: Members.indexOf(this.id),
                State: "joining",
            };
            this.membership = joined;
            this.changeLater(joined, "ready", this.hasServed ? rejoinMilliseconds : warmMilliseconds);
            return 202;
        }
        if (membership?.Name !== group || membership.epoch !== epoch) {
            return 409;
        }
        switch (Operation) {
            case "open":
                if (membership.State === "ready") {
                    this.changeLater(membership, "open", openMilliseconds);
                    return 202;
                }
                return membership.State === "open" ? 200 : 409;
            case "close":
                membership.State = "ready";
                this.beat();
                return 202;
            case "leave":
                this.membership = undefined;
                this.beat();
                return 202;
            default:
                return 400;
        }
    }

    private changeLater(membership: Membership, state: Membership["State"], milliseconds: number): void {
        this.beat();
        setTimeout(() => {
            if (this.membership === membership && this.isListening) {
                membership.State = state;
                this.hasServed = true;
                this.beat();
            }
        }, milliseconds);
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const pieces: Buffer[] = [];
        request.on("data", (piece: Buffer) => pieces.push(piece));
        request.on("error", () => undefined);
        request.on("end", () => this.handle(request, response, Buffer.concat(pieces).toString("latin1")));
    }

    private handle(request: IncomingMessage, response: ServerResponse, body: string): void {
        const { id } = this.options;
        const extra = this.extraHeaders();
        if (request.url === "/health" || request.url === "/api/report") {
            const load = { Busy: false, Sequence: this.orders, Waiting: 0, Running: 0 };
            response.writeHead(200, { "Chervilrouter-Instance-Id": id, ...extra });
            response.end(JSON.stringify({ ...load, ...this.report }));
            return;
        }
        if (request.url === "/api/order") {
            const isOther = request.headers["chervilrouter-expect-instance"] !== id;
            const status = isOther ? 421 : this.obey(JSON.parse(body) as Order);
            this.orders += status === 202 ? 1 : 0;
            response.writeHead(status, { "Content-Type": "application/json", ...extra }).end("{}");
            return;
        }
        const requestId = String(request.headers["chervilrouter-request-id"]);
        const arrival: Arrival = {
            at: Date.now(),
            born: this.born,
            id: requestId,
            method: request.method ?? "",
            target: request.url ?? "",
            rawHeaders: request.rawHeaders,
            headers: request.headers,
            body,
            outcome: "run",
        };
        this.arrivals.push(arrival);
        const expected = request.headers["chervilrouter-expect-instance"];
        const isClosed = this.options.model !== undefined && this.membership?.State !== "open";
        if ((expected !== undefined && expected !== id) || isClosed) {
            arrival.outcome = "421";
            response.writeHead(421, { "Chervilrouter-Request-Id": requestId, ...extra }).end();
            return;
        }
        if (this.intercept(arrival, response)) {
            return;
        }
        setTimeout(() => this.answer(requestId, response), workMilliseconds);
    }

    private answer(requestId: string, response: ServerResponse): void {
        const { id, model } = this.options;
        const isStream = model !== undefined;
        const events = [1, 2, 3].map(number => `id: ${number}\ndata: ${requestId}\n\n`).join("");
        const text = isStream ? events : `answer to ${requestId} by ${id}`;
        response.writeHead(200, {
            "Content-Type": isStream ? "text/event-stream" : "text/plain",
            "Chervilrouter-Request-Id": requestId,
            "Chervilrouter-Response-Seal": `seal-${id}-${requestId}`,
            "Content-Length": String(text.length),
            ...this.extraHeaders(),
        });
        response.end(text);
    }
}
