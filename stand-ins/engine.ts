/** Stand-in for an engine instance on its own port; docs/PROTOCOLS.md describes the calls. */
import type { EndpointReport } from "../src/core/endpoints.js";
import type { ModelVersion } from "../src/core/replica-groups.js";
import { Batch } from "./batch.js";
import { EngineCalls } from "./engine-calls.js";
import type { EngineMember } from "./engine-member.js";
import type { FaultSwitches } from "./fault-switches.js";
import { Listener } from "./listener.js";
import { PrefixCache } from "./prefix-cache.js";
import type { StandInSettings } from "./settings.js";

const defaultRestartMilliseconds = 1_000;

/** Id and location of an engine instance. */
export interface EngineLocation {
    readonly id: string;
    readonly failureDomain: string;
    readonly fabricDomain: string;
}

/** An engine instance's own view of its state, and the requests it has accepted. */
export interface EngineDescription {
    readonly instance: string;
    readonly address: string;
    readonly fabricDomain: string;
    readonly failureDomain: string;
    readonly incarnation: number;
    readonly group: string | undefined;
    readonly epoch: number;
    readonly state: string;
    readonly members: readonly string[];
    readonly model: ModelVersion | undefined;
    readonly requestsAccepted: number;
    /** Number of crashes that a request caused. */
    readonly crashes: number;
    /** Requests accepted while a member of the group was missing. */
    readonly acceptedWhileIncomplete: number;
    readonly lastAcceptedAfterLeavingMilliseconds: number;
    readonly lastAcceptedAfterLossMilliseconds: number;
    readonly running: number;
    readonly waiting: number;
}

/** Dependencies of an engine instance. */
export interface EngineOptions extends EngineLocation {
    readonly settings: StandInSettings["engines"];
    readonly faults: FaultSwitches;
    readonly now: () => number;
    readonly random: () => number;
    readonly createMember: (engine: Engine) => EngineMember;
    /** Finds another instance, to check whether the group is complete. */
    readonly findEngine: (id: string) => Engine | undefined;
    /** Called for each request that the instance accepts. */
    readonly onAccepted?: (request: string, epoch: number) => void;
}

/** Stand-in for one engine instance. */
export class Engine {
    public readonly options: EngineOptions;
    public member: EngineMember;
    public readonly batch: Batch;
    public readonly cache: PrefixCache;
    private readonly calls: EngineCalls;
    private listener: Listener | undefined;
    private incarnation = 1;
    private sequence = 0;
    private isKilled = false;
    private restartTimer: NodeJS.Timeout | undefined;
    private crashes = 0;
    private isCut = false;
    private leavingSince: number | undefined;
    private acceptedCount = 0;
    private acceptedWhileIncomplete = 0;
    private lastAcceptedAfterLeavingMilliseconds = 0;
    private incompleteSince: number | undefined;
    private lastAcceptedAfterLossMilliseconds = 0;
    private reportedLoad = { running: 0, waiting: 0 };
    private loadSampledAt = 0;

    private constructor(options: EngineOptions) {
        const { settings, now } = options;
        this.options = options;
        this.member = options.createMember(this);
        this.cache = PrefixCache.create({
            maximumBlocks: settings.cacheBlocks,
            eventLagMilliseconds: settings.cacheEventLagMilliseconds,
            lostEventFraction: settings.lostCacheEvents,
            random: options.random,
        });
        this.batch = Batch.create({
            ...settings,
            cache: this.cache,
            now,
            slowness: () => (this.isFaultOn("slowed") ? settings.slowedFactor : 1),
            canRun: () => this.canRun(),
            onChange: stream => this.calls.writeTokens(stream),
        });
        this.calls = EngineCalls.create(this);
    }

    public static async create(listen: string, options: EngineOptions): Promise<Engine> {
        const engine = new Engine(options);
        engine.listener = await Listener.create(listen, (request, response, body) =>
            engine.calls.handleRequest(request, response, body),
        );
        return engine;
    }

    public address(): string {
        return this.listener?.address() ?? "";
    }

    /** Returns the fault targets that include this instance. */
    public faultTargets(): readonly string[] {
        const { id, failureDomain, fabricDomain } = this.options;
        const targets = [id, failureDomain, fabricDomain, "engines"];
        return this.member.group === undefined ? targets : [...targets, this.member.group];
    }

    public isFaultOn(fault: string): boolean {
        return this.options.faults.isOn(this.faultTargets(), fault);
    }

    /** Applies the current faults of this instance. */
    public async applyFaults(): Promise<void> {
        this.leavingSince = this.isFaultOn("leaving") ? (this.leavingSince ?? this.options.now()) : undefined;
        if (this.isCut && !this.isFaultOn("cut")) {
            this.listener?.cutConnections();
        }
        this.isCut = this.isFaultOn("cut");
        this.listener?.setFrozen(this.isCut || this.isFaultOn("paused"));
        await this.updateKilled();
    }

    /** Crashes if the "crashing" fault applies to the request, whose execution begins. */
    public crashIfCausedBy(body: string): void {
        const fault = this.options.faults.find(this.faultTargets(), "crashing");
        if (fault?.text === undefined || !body.includes(fault.text)) {
            return;
        }
        this.crashes += 1;
        this.restartTimer = setTimeout(() => {
            this.restartTimer = undefined;
            void this.updateKilled();
        }, fault.milliseconds ?? defaultRestartMilliseconds);
        void this.updateKilled();
    }

    /** Records since when a member of the group has been missing. */
    public updateCompleteness(): void {
        this.incompleteSince = this.canRun() ? undefined : (this.incompleteSince ?? this.options.now());
    }

    /** Cuts the connections of all streams; with `forget`, drops the streams too. */
    public cutStreams(forget: boolean): void {
        this.calls.cutReaders();
        if (forget) {
            this.batch.dropAll();
        }
    }

    /** Simulates a crash and restart of the process with empty memory. */
    public async restart(): Promise<void> {
        await this.setKilled(true);
        await this.setKilled(false);
    }

    public close(): void {
        clearTimeout(this.restartTimer);
        this.batch.dropAll();
        this.listener?.stop();
    }

    /** Returns the instance's own view of its state, and the requests it has accepted. */
    public describe(): EngineDescription {
        this.member.step(this.options.now());
        const { id, fabricDomain, failureDomain } = this.options;
        return {
            instance: id,
            address: this.address(),
            fabricDomain,
            failureDomain,
            incarnation: this.incarnation,
            group: this.member.group,
            epoch: this.member.epoch,
            state: this.isKilled ? "killed" : this.member.state,
            members: this.member.members,
            model: this.member.model,
            requestsAccepted: this.acceptedCount,
            crashes: this.crashes,
            acceptedWhileIncomplete: this.acceptedWhileIncomplete,
            lastAcceptedAfterLeavingMilliseconds: this.lastAcceptedAfterLeavingMilliseconds,
            lastAcceptedAfterLossMilliseconds: this.lastAcceptedAfterLossMilliseconds,
            running: this.batch.running(),
            waiting: this.batch.waiting(),
        };
    }

    /** Returns true if this instance can currently work for the group. */
    public canWorkFor(group: string | undefined): boolean {
        return (
            !this.isKilled &&
            !this.isFaultOn("paused") &&
            !this.isFaultOn("cut") &&
            this.member.group === group
        );
    }

    /** Returns true if every member of the group can currently work. */
    public canRun(): boolean {
        const isComplete = this.member.members.every(id =>
            this.options.findEngine(id)?.canWorkFor(this.member.group),
        );
        return !this.isFaultOn("paused") && isComplete;
    }

    /** Returns the next response to a probe. */
    public report(): EndpointReport {
        const now = this.options.now();
        const { settings, id } = this.options;
        this.member.step(now);
        this.sequence += 1;
        if (now >= this.loadSampledAt + settings.loadLagMilliseconds) {
            this.loadSampledAt = now;
            this.reportedLoad = { running: this.batch.running(), waiting: this.batch.waiting() };
        }
        const { state, group, epoch, warm, members } = this.member;
        const slots = members[0] === id ? settings.slots : 0;
        return {
            instance: id,
            incarnation: this.incarnation,
            sequence: this.sequence,
            state,
            group,
            epoch,
            leaving: this.leavingSince !== undefined,
            load: { ...this.reportedLoad, slots },
            warm,
        };
    }

    public countAccepted(request: string, epoch: number): void {
        this.acceptedCount += 1;
        this.options.onAccepted?.(request, epoch);
        if (!this.canRun()) {
            this.acceptedWhileIncomplete += 1;
            this.lastAcceptedAfterLossMilliseconds =
                this.options.now() - (this.incompleteSince ?? this.options.now());
        }
        if (this.leavingSince !== undefined) {
            this.lastAcceptedAfterLeavingMilliseconds = this.options.now() - this.leavingSince;
        }
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
            this.batch.dropAll();
            this.listener?.stop();
            return;
        }
        this.incarnation += 1;
        this.sequence = 0;
        this.member = this.options.createMember(this);
        this.cache.clear(this.options.now());
        await this.listener?.start();
    }
}
