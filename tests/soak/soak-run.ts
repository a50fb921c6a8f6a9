/**
 * One run of the fault soak: real serving processes on the loopback address, stand-ins for the platform's store and
 * replicas, callers, and a seeded schedule of disturbances that are applied from outside the processes.
 */
import { execFileSync } from "node:child_process";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { StoreCopy } from "../../platform/stand-ins/store.js";
import { StandInStore } from "../../platform/stand-ins/store.js";
import { findPorts } from "../../scripts/free-ports.js";
import { hashIdentity } from "../../src/core/identity-hashes.js";
import { createRandomGenerator } from "../../src/core/random-numbers.js";
import { EngineSimulation } from "../../src/serving/tests/engine-simulation.js";
import { profile } from "../../src/serving/tests/simulated-fleet.js";
import { SoakCallers, deadlineMilliseconds, sendRequest } from "./callers.js";
import type { SoakBounds } from "./checkers.js";
import { allCheckers } from "./checkers.js";
import { SoakEntry, entryBounds, entryRetryBudget, portsPerEntry } from "./soak-entry.js";
import type {
    BreakRecord,
    CallerRecord,
    DisturbedSpan,
    LeavingRecord,
    LinkFaultSpan,
    PublishedRecord,
    RunRecord,
    SoakHistory,
    VersionRecord,
} from "./history.js";
import { FaultyLink } from "./proxies.js";
import type { SoakService } from "./soak-replica.js";
import { SoakReplica } from "./soak-replica.js";
import type { Disturbance } from "./schedule.js";
import { createRelayStalls, createSchedule } from "./schedule.js";
import {
    configurationAt,
    credentialsAt,
    host,
    markerPath,
    modelName,
    shortestTimeoutMilliseconds,
} from "./workload.js";

const heartbeatMilliseconds = 400;
const requestIntervalMilliseconds = 25;
const pollIntervalMilliseconds = 150;
/** Number of versions by which a process may be behind for its version to be found. */
const maximumVersionsBehind = 12;
const restartDelayMilliseconds = 300;
/** Interval between two copies of the store, in milliseconds, and the number of copies that are kept. */
const copyIntervalMilliseconds = 500;
const maximumCopies = 10;
/** Time for which a leaving replica still serves after its announcement. */
const leavingMilliseconds = 4_000;
const startTimeoutMilliseconds = 30_000;

/** Bounds that the soak checks: those of the deployment plus one second, since a shared machine delays processes. */
export const soakBounds: SoakBounds = {
    configurationMilliseconds: entryBounds.configurationMilliseconds + 1_000,
    leavingMilliseconds: entryBounds.drainMilliseconds + 1_000,
    settleMilliseconds: entryBounds.toleranceMilliseconds + 1_000,
    timeLimitMilliseconds: Math.min(deadlineMilliseconds, shortestTimeoutMilliseconds),
    lossSlackMilliseconds: entryBounds.lossSlackMilliseconds,
    retryBudget: entryRetryBudget,
};

export interface SoakOptions {
    readonly seed: number;
    readonly milliseconds: number;
    readonly entries: number;
    readonly engines: number;
    /** Program file of the serving process. */
    readonly program: string;
    /** Program of an earlier version, which each entry instance runs at its first start and at every second one after it. */
    readonly earlierProgram?: string;
    /** True to slow the relays of the store only; needs more than ten entry instances. */
    readonly slowsRelays?: boolean;
}

export interface SoakReport {
    readonly violations: readonly string[];
    /** Responses by kind and status, and disturbances by kind. */
    readonly counts: Readonly<Record<string, number>>;
    /** Directory of the settings and logs of the processes. */
    readonly directory: string;
}

/** Bundles the serving process as for a deployment; returns the path of the program file. */
export function buildProgram(directory: string): string {
    const outfile = join(directory, "chervil-serving.cjs");
    execFileSync("npm", ["run", "--silent", "bundle", "--", `--outfile=${outfile}`]);
    return outfile;
}

interface LinkedReplica {
    readonly replica: SoakReplica;
    readonly link: FaultyLink;
}

class SoakRun {
    private readonly callers: CallerRecord[] = [];
    private readonly runs: RunRecord[] = [];
    private readonly versions: VersionRecord[] = [];
    private readonly published: PublishedRecord[] = [];
    private readonly disturbed: DisturbedSpan[] = [];
    private readonly leaving: LeavingRecord[] = [];
    private readonly breaks: BreakRecord[] = [];
    private readonly linkFaults: LinkFaultSpan[] = [];
    private readonly problems: string[] = [];
    private readonly counts: Record<string, number> = {};
    /** Replicas that the main sequence of disturbances picks from. */
    private readonly replicas: LinkedReplica[] = [];
    /** Replicas of the service that some configurations move a route to. */
    private readonly otherReplicas: LinkedReplica[] = [];
    private readonly entries: { readonly entry: SoakEntry; readonly storeLink: FaultyLink }[] = [];
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly startedAt = performance.now();
    private readonly world: EngineSimulation;
    /** Copies of the store, from the oldest to the newest. */
    private readonly copies: StoreCopy[] = [];
    private replicaCount = 0;
    private isEnding = false;

    private constructor(
        private readonly options: SoakOptions,
        private readonly store: StandInStore,
        private readonly directory: string,
    ) {
        const models = [
            {
                ...profile.models[0]!,
                name: modelName,
                size: 2,
                loadMilliseconds: 1_200,
                warmMilliseconds: 400,
            },
        ];
        this.world = EngineSimulation.create({ ...profile, models }, () => this.now());
    }

    public static async create(options: SoakOptions): Promise<SoakRun> {
        const directory = mkdtempSync(join(tmpdir(), `chervil-soak-${options.seed}-`));
        return new SoakRun(options, await StandInStore.create(), directory);
    }

    public async run(): Promise<SoakReport> {
        try {
            await this.start();
            await this.runTraffic();
            await this.endProcesses();
        } finally {
            this.close();
        }
        const history: SoakHistory = {
            callers: this.callers,
            runs: this.runs,
            versions: this.versions,
            published: this.published,
            disturbed: this.disturbed,
            leaving: this.leaving,
            breaks: this.breaks,
            linkFaults: this.linkFaults,
            groupViolations: this.world.violations,
            endedAt: this.now(),
        };
        const foundViolations = Object.entries(allCheckers(soakBounds)).flatMap(([name, check]) =>
            check(history).map(text => `${name}: ${text}`),
        );
        return {
            violations: [...this.problems, ...foundViolations],
            counts: this.counts,
            directory: this.directory,
        };
    }

    private now(): number {
        return performance.now() - this.startedAt;
    }

    private incrementCount(name: string): void {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
    }

    private after(milliseconds: number, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            run();
        }, milliseconds);
        this.timers.add(timer);
    }

    private every(milliseconds: number, run: () => void): void {
        this.timers.add(setInterval(run, milliseconds));
    }

    private async start(): Promise<void> {
        this.publishConfiguration();
        await Promise.all(["plain", "plain", "plain"].map(() => this.addReplica("plain")));
        await Promise.all(Array.from({ length: this.options.engines }, () => this.addReplica("engines")));
        await Promise.all(["other", "other"].map(() => this.addReplica("other")));
        this.every(heartbeatMilliseconds, () => this.renewRegistrations());
        this.every(copyIntervalMilliseconds, () => this.saveCopy());
        const ports = await findPorts(this.options.entries * portsPerEntry, undefined);
        for (let index = 0; index < this.options.entries; index += 1) {
            const storeLink = await FaultyLink.create(this.store.address);
            const entry = SoakEntry.create({
                name: `entry-${index}`,
                firstPort: ports + index * portsPerEntry,
                storeAddress: storeLink.address,
                heartbeatMilliseconds,
                program: this.options.program,
                earlierProgram: this.options.earlierProgram,
                directory: this.directory,
                onExit: (name, code, wasTold) => this.handleExit(name, code, wasTold),
            });
            entry.start();
            this.entries.push({ entry, storeLink });
        }
        const deadline = this.now() + startTimeoutMilliseconds;
        while (!(await this.areEntriesReady()) || this.world.servingGroups().length === 0) {
            if (this.now() > deadline) {
                throw new Error(
                    `the processes were not ready, or no group served, within ${startTimeoutMilliseconds} ms; logs: ${this.directory}`,
                );
            }
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    private async areEntriesReady(): Promise<boolean> {
        const responses = await Promise.all(
            this.entries.map(({ entry }) =>
                sendRequest(entry.readinessPort, undefined, {
                    path: "/api/readiness",
                    method: "GET",
                    headers: {},
                    body: undefined,
                }),
            ),
        );
        return responses.every(({ status }) => status === 200);
    }

    private async runTraffic(): Promise<void> {
        const random = createRandomGenerator(this.options.seed + 1);
        const callers = SoakCallers.create({
            entries: this.entries.map(({ entry }) => entry),
            now: () => this.now(),
            random,
            credential: () => credentialsAt(this.published.at(-1)!.version)[1]!,
            onEnd: record => {
                this.callers.push(record);
                this.incrementCount(`${record.kind} ${record.status}${record.isWhole ? "" : " cut"}`);
            },
        });
        const sendTimer = setInterval(() => callers.send(), requestIntervalMilliseconds);
        const pollTimer = setInterval(
            () => this.entries.forEach(({ entry }) => void this.pollVersion(entry)),
            pollIntervalMilliseconds,
        );
        const { seed, milliseconds, slowsRelays = false } = this.options;
        const schedule = slowsRelays
            ? createRelayStalls(seed, milliseconds)
            : createSchedule(seed, milliseconds);
        for (const disturbance of schedule) {
            this.after(disturbance.at, () => this.applyDisturbance(disturbance));
        }
        await new Promise(resolve => setTimeout(resolve, milliseconds));
        clearInterval(sendTimer);
        await callers.waitUntilIdle();
        clearInterval(pollTimer);
    }

    /** Finds the version that an entry instance acts on: only this version has both the marker route and the credential. */
    private async pollVersion(entry: SoakEntry): Promise<void> {
        const { starts } = entry;
        const newest = this.published.at(-1)!.version;
        const oldest = Math.max(1, newest - maximumVersionsBehind);
        for (let version = newest; version >= oldest && entry.isRunning; version -= 1) {
            const at = this.now();
            const response = await sendRequest(entry.callerPort, undefined, {
                path: markerPath(version),
                method: "GET",
                headers: {
                    host,
                    authorization: `Bearer ${credentialsAt(version)[0]}`,
                    "chervilrouter-request-id": `marker-${entry.name}-${at}`,
                    "chervilrouter-deadline-ms": "1000",
                },
                body: undefined,
            });
            if (response.status === 0 || response.status === 503 || entry.starts !== starts) {
                return;
            }
            if (![401, 404].includes(response.status)) {
                this.versions.push({
                    entry: entry.name,
                    start: starts,
                    at,
                    version,
                    status: response.status,
                });
                return;
            }
        }
    }

    /** The entry instances that watch the store for the others. */
    private get relays(): readonly SoakEntry[] {
        const orderOf = ({ name }: SoakEntry): string => hashIdentity([name]);
        const inOrder = this.entries.map(({ entry }) => entry);
        return inOrder.sort((left, right) => (orderOf(left) < orderOf(right) ? -1 : 1)).slice(0, 2);
    }

    /** Every second seed beside slowed relays plays configurations that no datagram can hold. */
    private get unusedRoutes(): number {
        const { seed, slowsRelays = false } = this.options;
        return slowsRelays && seed % 2 === 0 ? 1_000 : 0;
    }

    private publishConfiguration(): void {
        const version = (this.published.at(-1)?.version ?? 0) + 1;
        this.store.put("op/config", configurationAt(version, this.unusedRoutes));
        this.published.push({ version, at: this.now() });
    }

    private get allReplicas(): readonly LinkedReplica[] {
        return [...this.replicas, ...this.otherReplicas];
    }

    private async addReplica(service: SoakService): Promise<void> {
        this.replicaCount += 1;
        const isEngine = service === "engines";
        const id = `${isEngine ? "engine" : service}-${this.replicaCount}`;
        if (isEngine) {
            this.world.add(id, "");
        }
        const replica = await SoakReplica.create({
            id,
            service,
            world: isEngine ? this.world : undefined,
            now: () => this.now(),
            onRun: run => !run.id.startsWith("marker") && this.runs.push(run),
            onBreak: request => this.breaks.push({ id: request, replica: id }),
            onViolation: text => this.problems.push(text),
        });
        const linked = { replica, link: await FaultyLink.create(replica.address) };
        (service === "other" ? this.otherReplicas : this.replicas).push(linked);
        this.registerReplica(linked);
    }

    private registerReplica({ replica, link }: LinkedReplica): void {
        this.store.put(`servers/${replica.id}`, replica.nextRegistration(link.address));
    }

    private renewRegistrations(): void {
        const sending = this.allReplicas.filter(({ replica }) => !replica.isDown && !replica.isSilent);
        for (const linked of sending) {
            this.registerReplica(linked);
        }
    }

    private handleExit(name: string, code: number | undefined, wasTold: boolean): void {
        if (!wasTold || code !== 0) {
            this.problems.push(`${name} ended unexpectedly with ${code ?? "a signal"}`);
        }
    }

    /** Starts a process again once it has ended, as the platform does. */
    private restart(entry: SoakEntry): void {
        if (this.isEnding) {
            return;
        }
        if (entry.isRunning) {
            this.after(restartDelayMilliseconds, () => this.restart(entry));
            return;
        }
        entry.start();
        this.recordDisturbance(entry.name, this.now(), this.now());
    }

    private recordDisturbance(entry: string | undefined, from: number, to: number): void {
        this.disturbed.push({ entry, from, to });
    }

    private applyDisturbance(disturbance: Disturbance): void {
        const { index } = disturbance;
        const from = this.now();
        const durationMilliseconds = disturbance.until - disturbance.at;
        const { entry, storeLink } = this.entries[index % this.entries.length]!;
        const linked = this.replicas[index % this.replicas.length]!;
        this.incrementCount(`disturbed by ${disturbance.kind}`);
        switch (disturbance.kind) {
            case "terminate":
            case "kill":
                if (entry.isUndisturbed) {
                    if (disturbance.kind === "kill") {
                        entry.kill();
                    } else {
                        entry.terminate();
                    }
                    this.recordDisturbance(entry.name, from, from + entryBounds.graceMilliseconds);
                    this.after(restartDelayMilliseconds, () => this.restart(entry));
                }
                return;
            case "pause":
                if (entry.isUndisturbed) {
                    entry.pause();
                    this.recordDisturbance(entry.name, from, from + durationMilliseconds);
                    this.after(durationMilliseconds, () => entry.resume());
                }
                return;
            case "slowRelay": {
                const relay = this.relays[index]!;
                const until = from + durationMilliseconds;
                if (relay.isUndisturbed) {
                    this.recordDisturbance(relay.name, from, until);
                    void relay.slowDown(() => this.now() >= until);
                }
                return;
            }
            case "publish":
                this.publishConfiguration();
                return;
            case "forget":
                this.store.compact();
                this.recordDisturbance(undefined, from, from);
                return;
            case "restore":
                this.restoreStore(index);
                return;
            case "store":
                this.disturbStore(disturbance.fault, durationMilliseconds);
                return;
            case "storeLink":
                storeLink.fault = disturbance.fault;
                this.recordDisturbance(entry.name, from, from + durationMilliseconds);
                this.after(durationMilliseconds, () => {
                    storeLink.fault = "none";
                    storeLink.reset();
                });
                return;
            case "replicaLink":
                this.linkFaults.push({ replica: linked.replica.id, from, to: from + durationMilliseconds });
                linked.link.fault = disturbance.fault;
                this.after(durationMilliseconds, () => {
                    linked.link.fault = "none";
                    linked.link.reset();
                });
                return;
            case "resetStoreLink":
                storeLink.reset();
                this.recordDisturbance(entry.name, from, from);
                return;
            case "resetReplicaLink":
                this.linkFaults.push({ replica: linked.replica.id, from, to: from });
                linked.link.reset();
                return;
            case "replica":
                linked.replica.fault = disturbance.fault;
                this.after(durationMilliseconds, () => (linked.replica.fault = "none"));
                return;
            case "silence": {
                const { allReplicas } = this;
                allReplicas[index % allReplicas.length]!.replica.fallSilent(durationMilliseconds);
                return;
            }
            case "replicaDown":
                this.stopReplica(linked, durationMilliseconds);
                return;
            case "leave":
                this.retireReplica(linked);
        }
    }

    private disturbStore(fault: "busy" | "silent" | "losesWrites", durationMilliseconds: number): void {
        const sound = { isBusy: false, isSilent: false, losesWrites: false };
        const key = { busy: "isBusy", silent: "isSilent", losesWrites: "losesWrites" }[fault];
        this.store.faults = { ...sound, [key]: true };
        this.recordDisturbance(undefined, this.now(), this.now() + durationMilliseconds);
        this.after(durationMilliseconds, () => (this.store.faults = sound));
    }

    /** Brings the store back from a copy; the operators and the replicas write again what was theirs. */
    private restoreStore(index: number): void {
        const copy = this.copies[this.copies.length - 1 - (index % this.copies.length)];
        if (copy === undefined) {
            return;
        }
        this.store.restore(copy);
        this.copies.length = 0;
        this.recordDisturbance(undefined, this.now(), this.now());
        this.after(heartbeatMilliseconds, () => {
            this.store.put("op/config", configurationAt(this.published.at(-1)!.version, this.unusedRoutes));
        });
        this.after(3 * heartbeatMilliseconds, () => {
            const registered = this.store.keysUnder("servers/");
            const present = this.allReplicas.filter(({ replica }) => !replica.isDown);
            const keys = new Set(present.map(({ replica }) => `servers/${replica.id}`));
            registered.filter(key => !keys.has(key)).forEach(key => this.store.remove(key));
        });
    }

    private saveCopy(): void {
        this.copies.push(this.store.copy());
        if (this.copies.length > maximumCopies) {
            this.copies.shift();
        }
    }

    private stopReplica({ replica, link }: LinkedReplica, durationMilliseconds: number): void {
        replica.setUp(false);
        this.after(
            3 * heartbeatMilliseconds,
            () => replica.isDown && this.store.remove(`servers/${replica.id}`),
        );
        this.after(durationMilliseconds, () => {
            if (this.replicas.some(each => each.replica === replica)) {
                replica.setUp(true);
                this.registerReplica({ replica, link });
            }
        });
    }

    /** Makes a replica announce that it leaves, removes it later, and adds a new one in its place. */
    private retireReplica(linked: LinkedReplica): void {
        const { replica, link } = linked;
        if (replica.isLeaving || replica.isDown) {
            return;
        }
        replica.isLeaving = true;
        this.registerReplica(linked);
        this.leaving.push({ replica: replica.id, at: this.now() });
        void this.addReplica(replica.id.startsWith("engine") ? "engines" : "plain");
        this.after(leavingMilliseconds, () => {
            this.replicas.splice(this.replicas.indexOf(linked), 1);
            this.store.remove(`servers/${replica.id}`);
            replica.setUp(false);
            replica.close();
            link.close();
        });
    }

    /** Resumes paused processes, then asks every process to end and checks that it does within its grace period. */
    private async endProcesses(): Promise<void> {
        this.isEnding = true;
        this.entries.filter(({ entry }) => entry.isPaused).forEach(({ entry }) => entry.resume());
        this.entries.forEach(({ entry }) => entry.terminate());
        const deadline = this.now() + entryBounds.graceMilliseconds + 2_000;
        while (this.entries.some(({ entry }) => entry.isRunning) && this.now() < deadline) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        for (const { entry } of this.entries.filter(each => each.entry.isRunning)) {
            this.problems.push(`${entry.name} did not end within its grace period after SIGTERM`);
        }
    }

    private close(): void {
        this.isEnding = true;
        this.timers.forEach(timer => clearInterval(timer));
        this.entries.forEach(({ entry }) => entry.kill());
        this.entries.forEach(({ storeLink }) => storeLink.close());
        this.allReplicas.forEach(({ replica, link }) => {
            replica.close();
            link.close();
        });
        this.store.close();
    }
}

/** Runs one seed of the soak. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const soak = await SoakRun.create(options);
    return soak.run();
}
