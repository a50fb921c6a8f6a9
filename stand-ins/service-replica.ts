/**
 * Stand-in for a replica of a plain service (tracker, depot) on its own port. Executions are counted by
 * Idempotency-Key across all replicas of all services.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EndpointReport } from "../src/core/endpoints.js";
import type { FaultSwitches } from "./fault-switches.js";
import { Listener, parseJson, sendJson } from "./listener.js";

/** Counts executions of calls that change state. */
export class ExecutionCounts {
    private readonly counts = new Map<string, number>();
    private keylessCount = 0;

    private constructor() {}

    public static create(): ExecutionCounts {
        return new ExecutionCounts();
    }

    public add(key: string | undefined): void {
        if (key === undefined) {
            this.keylessCount += 1;
        } else {
            this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
        }
    }

    /** Returns the number of executions by Idempotency-Key. */
    public byKey(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.counts);
    }

    /** Returns the number of executions of calls without a key. */
    public withoutKey(): number {
        return this.keylessCount;
    }
}

/** Dependencies of a replica. */
export interface ServiceOptions {
    readonly id: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly faults: FaultSwitches;
    readonly executions: ExecutionCounts;
    readonly now: () => number;
    /** Execution time of each call, in milliseconds. */
    readonly workMilliseconds: number;
}

/** A replica's own view of its state, and the calls it has accepted. */
export interface ServiceDescription {
    readonly instance: string;
    readonly service: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly incarnation: number;
    readonly state: "killed" | "serving";
    readonly requestsAccepted: number;
    /** Number of crashes that a call caused. */
    readonly crashes: number;
    readonly lastAcceptedAfterLeavingMilliseconds: number;
}

const defaultDelayMilliseconds = 1000;

/** Stand-in for one service replica. */
export class ServiceReplica {
    public readonly options: ServiceOptions;
    private listener: Listener | undefined;
    private incarnation = 1;
    private sequence = 0;
    private isKilled = false;
    private restartTimer: NodeJS.Timeout | undefined;
    private crashes = 0;
    private isCut = false;
    private leavingSince: number | undefined;
    private acceptedCount = 0;
    private lastAcceptedAfterLeavingMilliseconds = 0;

    private constructor(options: ServiceOptions) {
        this.options = options;
    }

    public static async create(listen: string, options: ServiceOptions): Promise<ServiceReplica> {
        const replica = new ServiceReplica(options);
        replica.listener = await Listener.create(listen, (request, response, body) =>
            replica.receive(request, response, body),
        );
        return replica;
    }

    public address(): string {
        return this.listener?.address() ?? "";
    }

    /** Returns the fault targets that include this replica. */
    public faultTargets(): readonly string[] {
        const { id, service, failureDomain } = this.options;
        return [id, service, failureDomain, "services"];
    }

    public isFaultOn(fault: string): boolean {
        return this.options.faults.isOn(this.faultTargets(), fault);
    }

    /** Applies the current faults of this replica. */
    public async applyFaults(): Promise<void> {
        this.leavingSince = this.isFaultOn("leaving") ? (this.leavingSince ?? this.options.now()) : undefined;
        if (this.isCut && !this.isFaultOn("cut")) {
            this.listener?.cutConnections();
        }
        this.isCut = this.isFaultOn("cut");
        this.listener?.setFrozen(this.isCut || this.isFaultOn("paused"));
        await this.updateKilled();
    }

    /** Simulates a crash and restart of the process. */
    public async restart(): Promise<void> {
        await this.setKilled(true);
        await this.setKilled(false);
    }

    public close(): void {
        clearTimeout(this.restartTimer);
        this.listener?.stop();
    }

    public describe(): ServiceDescription {
        return {
            instance: this.options.id,
            service: this.options.service,
            address: this.address(),
            failureDomain: this.options.failureDomain,
            incarnation: this.incarnation,
            state: this.isKilled ? "killed" : "serving",
            requestsAccepted: this.acceptedCount,
            crashes: this.crashes,
            lastAcceptedAfterLeavingMilliseconds: this.lastAcceptedAfterLeavingMilliseconds,
        };
    }

    /** Crashes if the "crashing" fault applies to the request; returns whether it does. */
    private crashIfCausedBy(content: string): boolean {
        const fault = this.options.faults.find(this.faultTargets(), "crashing");
        if (fault?.text === undefined || !content.includes(fault.text)) {
            return false;
        }
        this.crashes += 1;
        this.restartTimer = setTimeout(() => {
            this.restartTimer = undefined;
            void this.updateKilled();
        }, fault.milliseconds ?? defaultDelayMilliseconds);
        void this.updateKilled();
        return true;
    }

    private async updateKilled(): Promise<void> {
        const isKilled = this.restartTimer !== undefined || this.isFaultOn("killed");
        if (isKilled !== this.isKilled) {
            await this.setKilled(isKilled);
        }
    }

    private async setKilled(killed: boolean): Promise<void> {
        this.isKilled = killed;
        if (killed) {
            this.listener?.stop();
            return;
        }
        this.incarnation += 1;
        this.sequence = 0;
        await this.listener?.start();
    }

    private receive(request: IncomingMessage, response: ServerResponse, body: string): void {
        if (request.method === "GET" && request.url === "/probe") {
            sendJson(response, 200, this.report());
            return;
        }
        this.countAccepted();
        if (this.isFaultOn("refusals")) {
            response.setHeader("x-not-run", "true");
            sendJson(response, 503, {
                error: {
                    code: "overloaded",
                    message: "the service refused the call without running it",
                    notRun: true,
                },
            });
            return;
        }
        const { incarnation } = this;
        setTimeout(
            () =>
                this.runWhenNotPaused(() => {
                    if (this.incarnation === incarnation && !this.isKilled) {
                        this.execute(request, response, body);
                    }
                }),
            this.delayOf("delayed") + this.options.workMilliseconds,
        );
    }

    private runWhenNotPaused(action: () => void): void {
        if (this.isFaultOn("paused")) {
            this.listener?.runWhenUnfrozen(action);
        } else {
            action();
        }
    }

    /** Runs the call; faults may delay or drop the response. */
    private execute(request: IncomingMessage, response: ServerResponse, body: string): void {
        if (this.crashIfCausedBy(`${request.url} ${body}`)) {
            return;
        }
        const key = request.headers["idempotency-key"];
        const changesState = request.method !== "GET" && request.method !== "HEAD";
        if (changesState) {
            this.options.executions.add(key === undefined ? undefined : String(key));
        }
        if (this.isFaultOn("lostAnswers")) {
            response.socket?.destroy();
            return;
        }
        const result = changesState ? this.changeResult(request, body) : this.readResult(request);
        setTimeout(() => {
            if (!this.isFaultOn("cut")) {
                sendJson(response, changesState ? 201 : 200, result);
            }
        }, this.delayOf("lateAnswers"));
    }

    private changeResult(request: IncomingMessage, body: string): unknown {
        const { id, service } = this.options;
        return {
            service,
            instance: id,
            method: request.method,
            path: request.url,
            key: request.headers["idempotency-key"],
            body: parseJson(body) ?? body,
        };
    }

    private readResult(request: IncomingMessage): unknown {
        const { id, service } = this.options;
        return { service, instance: id, path: request.url, labels: ["crash", "launch"], items: [1, 2, 3] };
    }

    private delayOf(fault: string): number {
        const on = this.options.faults.find(this.faultTargets(), fault);
        return on === undefined ? 0 : (on.milliseconds ?? defaultDelayMilliseconds);
    }

    private report(): EndpointReport {
        this.sequence += 1;
        return {
            instance: this.options.id,
            incarnation: this.incarnation,
            sequence: this.sequence,
            state: "serving",
            epoch: 0,
            leaving: this.leavingSince !== undefined,
            load: { running: 0, waiting: 0, slots: 0 },
            warm: [],
        };
    }

    private countAccepted(): void {
        this.acceptedCount += 1;
        if (this.leavingSince !== undefined) {
            this.lastAcceptedAfterLeavingMilliseconds = this.options.now() - this.leavingSince;
        }
    }
}
