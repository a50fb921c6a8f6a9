/** Replicas of the soak: plain replicas, and engines that form groups. They are registered in the store stand-in. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import * as z from "zod";
import { parseJson } from "../../src/links/json.js";
import type { GroupOrder } from "../../src/serving/group-orders.js";
import type { EngineSimulation } from "../../src/serving/tests/engine-simulation.js";
import type { RunRecord } from "./history.js";
import { resetSocket } from "./proxies.js";
import { formatEvent, expectedResponse, streamEvents } from "./workload.js";

/** Fault of the requests that a replica receives, in effect until it is changed. */
export type ReplicaFault =
    | "none"
    | "full"
    | "pause"
    | "loseAnswer"
    | "breakStream"
    | "fail"
    | "answerTwice"
    /** Responds without a length or chunks; a normal close of the connection ends the response. */
    | "unframed"
    /** As "unframed", but resets the connection in the middle of the response. */
    | "breakUnframed"
    /** As "unframed", but a stream ends inside an event. */
    | "endInsideEvent";

const unframedFaults: ReadonlySet<ReplicaFault> = new Set(["unframed", "breakUnframed", "endInsideEvent"]);

const eventIntervalMilliseconds = 40;
const responseDelayMilliseconds = 15;
/** Time for which a replica with the fault "pause" wants no further request. */
const pauseSeconds = 1;

export type SoakService = "plain" | "other" | "engines";

export interface SoakReplicaOptions {
    readonly id: string;
    readonly service: SoakService;
    /** Simulation that holds the engine's state; undefined for a plain replica. */
    readonly world: EngineSimulation | undefined;
    readonly now: () => number;
    readonly onRun: (run: RunRecord) => void;
    /** Called with the id of each request that the replica itself does not respond to completely. */
    readonly onBreak: (id: string) => void;
    readonly onViolation: (text: string) => void;
}

export class SoakReplica {
    public fault: ReplicaFault = "none";
    public isLeaving = false;
    private isUp = true;
    /** Work that waits for the end of a silence; undefined outside one. */
    private heldWork: (() => void)[] | undefined;
    private heartbeat = 0;
    private readonly sockets = new Set<Socket>();
    /** Ids of the requests that run, by their responses. */
    private readonly running = new Map<ServerResponse, string>();

    private constructor(
        private readonly options: SoakReplicaOptions,
        private readonly server: Server,
        private readonly bornAt: number,
    ) {}

    public static async create(options: SoakReplicaOptions): Promise<SoakReplica> {
        const server = createServer({ keepAliveTimeout: 20_000 });
        const replica = new SoakReplica(options, server, Date.now());
        server.on("request", (request, response) => replica.receive(request, response));
        server.on("connection", (socket: Socket) => {
            replica.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => replica.sockets.delete(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return replica;
    }

    public get id(): string {
        return this.options.id;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    public get isDown(): boolean {
        return !this.isUp;
    }

    /** Stops the replica or starts it again under its id; a restarted engine has lost its state. */
    public setUp(isUp: boolean): void {
        if (isUp === this.isUp) {
            return;
        }
        this.isUp = isUp;
        const { world, id } = this.options;
        if (isUp) {
            world?.restart(id);
        } else {
            world?.crash(id);
            this.running.forEach(request => this.options.onBreak(request));
            this.sockets.forEach(resetSocket);
        }
    }

    public get isSilent(): boolean {
        return this.heldWork !== undefined;
    }

    /** Sends nothing, reports included, for the given time, then goes on with all that it has. */
    public fallSilent(milliseconds: number): void {
        if (this.heldWork !== undefined) {
            return;
        }
        const held: (() => void)[] = [];
        this.heldWork = held;
        setTimeout(() => {
            this.heldWork = undefined;
            held.forEach(run => run());
        }, milliseconds);
    }

    public close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** Registration that the replica writes into the store; `address` is where others reach it. */
    public nextRegistration(address: string): unknown {
        this.heartbeat += 1;
        return {
            Service: this.options.service,
            Address: address,
            Zone: "zone-a",
            Version: "v1",
            Slots: 16,
            State: this.isLeaving ? "draining" : "ready",
            ColdRemainingMs: 0,
            Sequence: this.heartbeat,
            ...this.createReport(),
        };
    }

    private createReport(): Readonly<Record<string, unknown>> {
        const { world, id } = this.options;
        if (world === undefined) {
            return { born: this.bornAt };
        }
        world.advance(id);
        const { membership, model, staged, incarnation } = world.statusOf(id);
        return {
            Models: model === undefined ? [] : [{ Name: model, Version: 1, Adapters: [] }],
            Staged: staged,
            Domain: "fabric",
            group: membership && {
                Name: membership.group,
                epoch: membership.epoch,
                rank: membership.rank,
                State: membership.state,
            },
            born: this.bornAt + Math.round(incarnation ?? 0),
        };
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => {
            if (!this.isUp) {
                resetSocket(request.socket);
                return;
            }
            this.handle(request, response, Buffer.concat(chunks).toString("utf8"));
        });
    }

    private handle(request: IncomingMessage, response: ServerResponse, body: string): void {
        if (this.heldWork !== undefined) {
            this.heldWork.push(() => this.handle(request, response, body));
            return;
        }
        const { world, id } = this.options;
        if (this.isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        const expected = request.headers["chervilrouter-expect-instance"];
        if (expected !== undefined && expected !== id) {
            response.writeHead(421, { "Chervilrouter-Not-Executed": "1" }).end();
            return;
        }
        if (request.url === "/api/report") {
            response.end(JSON.stringify(this.createReport()));
            return;
        }
        if (request.url === "/api/order" && world !== undefined) {
            world.advance(id);
            const reply = world.carryOut(id, parseOrder(body));
            response.writeHead({ begun: 202, holds: 200 }[reply.kind as string] ?? 412).end("{}");
            return;
        }
        if (this.fault === "pause") {
            const pause = { "Retry-After": String(pauseSeconds) };
            response.writeHead(503, { "Chervilrouter-Not-Executed": "1", ...pause }).end();
            return;
        }
        const isRefused = this.fault === "full" || (world !== undefined && !this.isLeader(world));
        if (isRefused) {
            response.writeHead(world === undefined ? 503 : 421, { "Chervilrouter-Not-Executed": "1" }).end();
            return;
        }
        this.execute(request, response);
    }

    private isLeader(world: EngineSimulation): boolean {
        world.advance(this.id);
        const { membership } = world.statusOf(this.id);
        return membership?.rank === 0 && membership.state === "open";
    }

    private execute(request: IncomingMessage, response: ServerResponse): void {
        const { world, now, onRun, onViolation } = this.options;
        const id = String(request.headers["chervilrouter-request-id"]);
        const workspace = request.headers["chervilrouter-tenant-id"];
        if (world !== undefined && !world.leadsWholeGroup(this.id)) {
            // A group that lost a member: the leader still accepts requests, but makes no progress.
            this.options.onBreak(id);
            return;
        }
        const members = world === undefined ? [] : world.engineOf(this.id).members;
        if (members.length !== 0 && members.length !== 2) {
            onViolation(`${id} ran in a group of ${members.length} members instead of 2`);
        }
        onRun({
            id,
            replica: this.id,
            at: now(),
            workspace: workspace === undefined ? undefined : String(workspace),
            hasCredential: request.headers.authorization !== undefined,
            members,
            target: request.url ?? "",
        });
        const headers = { "Chervilrouter-Request-Id": id, "Chervilrouter-Response-Seal": `seal-${this.id}` };
        this.running.set(response, id);
        response.once("close", () => this.running.delete(response));
        if (unframedFaults.has(this.fault)) {
            response.useChunkedEncodingByDefault = false;
            response.shouldKeepAlive = false;
        }
        if (this.fault === "loseAnswer") {
            this.options.onBreak(id);
            setTimeout(() => response.socket && resetSocket(response.socket), responseDelayMilliseconds);
            return;
        }
        if (this.fault === "fail") {
            response.writeHead(500, headers).end("it failed");
            return;
        }
        if (world === undefined) {
            setTimeout(
                () => this.respond(response, headers, expectedResponse(id, this.id), this.fault),
                responseDelayMilliseconds,
            );
            return;
        }
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        this.sendEvents(response, id, Number(request.headers["last-event-id"] ?? 0) + 1);
    }

    private respond(
        response: ServerResponse,
        headers: Readonly<Record<string, string>>,
        text: string,
        fault: ReplicaFault,
    ): void {
        if (this.heldWork !== undefined) {
            this.heldWork.push(() => this.respond(response, headers, text, fault));
            return;
        }
        if (fault === "breakUnframed" || !this.isUp) {
            this.options.onBreak(headers["Chervilrouter-Request-Id"]!);
            response.writeHead(200, headers);
            this.writeAndReset(response, text.slice(0, text.length / 2));
            return;
        }
        const length = unframedFaults.has(fault) ? {} : { "Content-Length": String(text.length) };
        response.writeHead(200, { ...headers, ...length }).end(text);
        if (fault === "answerTwice") {
            response.socket?.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
        }
    }

    private sendEvents(response: ServerResponse, id: string, event: number): void {
        if (this.heldWork !== undefined) {
            this.heldWork.push(() => this.sendEvents(response, id, event));
            return;
        }
        if (response.destroyed) {
            return;
        }
        if (!this.isUp || !this.options.world!.leadsWholeGroup(this.id)) {
            this.options.onBreak(id);
            return;
        }
        if (event % 5 === 0 && this.breakEvent(response, id, event)) {
            return;
        }
        response.write(formatEvent(id, event));
        if (event >= streamEvents) {
            response.end();
            return;
        }
        setTimeout(() => this.sendEvents(response, id, event + 1), eventIntervalMilliseconds);
    }

    /** Breaks a stream off if the fault says so; returns false otherwise. */
    private breakEvent(response: ServerResponse, id: string, event: number): boolean {
        const text = formatEvent(id, event);
        switch (this.fault) {
            case "endInsideEvent":
                response.end(text.slice(0, 9));
                break;
            case "breakUnframed":
                this.writeAndReset(response, text);
                break;
            case "breakStream":
                response.write(text.slice(0, 9));
                setTimeout(() => response.socket && resetSocket(response.socket), responseDelayMilliseconds);
                break;
            default:
                return false;
        }
        this.options.onBreak(id);
        return true;
    }

    /** Resets the connection right after its last bytes. */
    private writeAndReset(response: ServerResponse, text: string): void {
        response.write(text, () => response.socket && resetSocket(response.socket));
    }
}

const orderSchema = z.object({
    Operation: z.enum(["join", "open", "close", "leave", "Stage"]),
    group: z.string().default(""),
    epoch: z.number().default(0),
    Model: z.string().default(""),
    Members: z.array(z.string()).default([]),
});

function parseOrder(body: string): GroupOrder {
    const { Operation, group, epoch, Model, Members } = orderSchema.parse(parseJson(body));
    switch (Operation) {
        case "join":
            return { kind: "join", group, epoch, model: Model, members: Members };
        case "Stage":
            return { kind: "stage", model: Model };
        default:
            return { kind: Operation, group, epoch };
    }
}
