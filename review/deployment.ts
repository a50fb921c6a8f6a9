/** Starts serving processes with the command of the deploy file, beside a store, on loopback addresses. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse } from "smol-toml";
import { StandInStore } from "../platform/stand-ins/store.js";
import { findPorts } from "../scripts/free-ports.js";
import type { Record } from "./record.js";

/** Ports of one entry instance: callers, readiness, and the range for the system's own traffic. */
const portsPerEntry = 20;
const heartbeatMilliseconds = 1_200;
/** Memory over which the platform kills a process (`MemoryMb`) unless a case sets another, and how often it looks. */
const usualMemoryMegabytes = 350;
const memoryCheckMilliseconds = 100;
/** Time from the end of a process until the platform starts it again. */
const restartMilliseconds = 500;

/** The bounds of the sheet of aosb-tracker. */
export const bounds = {
    stabilityWindowMilliseconds: 3_000,
    drainMilliseconds: 2_000,
    graceSeconds: 8,
    lossSlackMilliseconds: 200,
    stallMilliseconds: 4_000,
    heartbeatMilliseconds,
};

export interface Entry {
    readonly name: string;
    readonly zone: string;
    /** Port for callers; the next one answers readiness questions. */
    readonly port: number;
    process: ChildProcess;
    /** True once the process has ended by itself; memory over the limit counts. */
    hasEndedByItself: boolean;
    /** Largest memory in use so far, in megabytes. */
    largestMegabytes: number;
}

export interface DeploymentOptions {
    readonly zones: readonly string[];
    readonly configuration: unknown;
    readonly record: Record;
    /** Memory over which the platform kills a process. */
    readonly memoryMegabytes?: number | undefined;
}

export class Deployment {
    public readonly entries: Entry[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "chervil-review-"));
    private isClosing = false;
    private readonly memoryTimer = setInterval(() => this.checkMemory(), memoryCheckMilliseconds);

    private constructor(
        public readonly store: StandInStore,
        private readonly options: DeploymentOptions,
    ) {}

    /** Starts the store and one entry instance in each of the given zones. */
    public static async create(options: DeploymentOptions): Promise<Deployment> {
        const deployment = new Deployment(await StandInStore.create(), options);
        deployment.store.put("op/config", options.configuration);
        for (const [index, zone] of options.zones.entries()) {
            await deployment.prepareEntry(`front-${zone}-${index + 1}`, zone);
        }
        return deployment;
    }

    private async prepareEntry(name: string, zone: string): Promise<void> {
        const port = await findPorts(portsPerEntry, undefined);
        this.writeSettings(name, zone, port, true);
        const entry: Entry = {
            name,
            zone,
            port,
            process: this.start(name),
            hasEndedByItself: false,
            largestMegabytes: 0,
        };
        this.watch(entry);
        this.entries.push(entry);
    }

    /** Starts the process of an entry instance again, as the platform does after its end. */
    private restart(entry: Entry): void {
        this.writeSettings(entry.name, entry.zone, entry.port, false);
        entry.process = this.start(entry.name);
        this.watch(entry);
    }

    private get memoryMegabytes(): number {
        return this.options.memoryMegabytes ?? usualMemoryMegabytes;
    }

    /** Kills a process that uses more memory than its limit, as the platform does. */
    private checkMemory(): void {
        for (const entry of this.entries) {
            const used = this.residentMegabytesOf(entry);
            entry.largestMegabytes = Math.max(entry.largestMegabytes, used);
            if (used > this.memoryMegabytes && !entry.process.killed) {
                entry.hasEndedByItself = true;
                this.options.record.say(
                    `${entry.name} uses ${Math.round(used)} MB of ${this.memoryMegabytes} MB, so the platform kills it`,
                );
                entry.process.kill("SIGKILL");
            }
        }
    }

    private watch(entry: Entry): void {
        const { process: started } = entry;
        started.once("exit", (code, signal) => {
            if (this.isClosing) {
                return;
            }
            entry.hasEndedByItself ||= !started.killed;
            this.options.record.say(`${entry.name} ended (code ${code}, signal ${signal})`);
            setTimeout(() => this.isClosing || this.restart(entry), restartMilliseconds);
        });
    }

    private writeSettings(name: string, zone: string, port: number, isFirstStart: boolean): void {
        const zones = [...new Set(this.options.zones)];
        const text = [
            `NodeName = "${name}"`,
            'Role = "entry"',
            'MachineClass = "front"',
            'Serves = ["front"]',
            'Ip = "127.0.0.1"',
            `Zone = "${zone}"`,
            'Region = "tr-west"',
            `InternalPorts = [${port + 2}, ${port + portsPerEntry - 1}]`,
            "Seeds = []",
            `Bootstrap = ${isFirstStart}`,
            "ToleranceMember = false",
            'Discovery = "platform"',
            'Entry = "vip"',
            `HeartbeatMs = ${heartbeatMilliseconds}`,
            'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]',
            "[Zones]",
            ...zones.map(each => `${each} = "tr-west"`),
            "[Listen]",
            `Front = "127.0.0.1:${port}"`,
            `Ready = "127.0.0.1:${port + 1}"`,
            "[Limits]",
            "CpuShare = 0.675",
            "Cores = 1",
            `MemoryMb = ${this.memoryMegabytes}`,
            "MaxFds = 4200",
            "LinkMbps = 1000.0",
            "DiskMb = 0",
            "[FaultTolerance]",
            "Machines = 2",
            "Zones = 1",
            "Regions = 0",
            "[Bounds]",
            "SeedLagS = 3",
            "AddrReuseS = 2",
            "StabilityWindowMs = 3000",
            "AckMs = 4000",
            "CatchUpS = 4",
            "DrainMs = 2000",
            "GraceS = 8",
            "LossSlackMs = 200",
            "ConfigApplyMs = 2000",
            "RollbackSlackMs = 250",
            "MaxStretchMs = 5000",
            "StrictRevoke = false",
            "RevokeMs = 5000",
            "RetryBudgetRatio = 0.2",
            "BudgetWindowS = 10",
            "BudgetExtraRetries = 130",
            "RecoverS = 12",
            "PassMs = 120",
            "AgainS = 0",
            "StallMs = 4000",
            "FencingRequired = false",
            "CeilingWindowS = 5",
            "CeilingOvershoot = 1.1",
            "[Provider]",
            `Address = "${this.store.address}"`,
            'form = "kv"',
            "WritesPerS = 400",
            "ReadsPerS = 2000",
            "HistoryS = 20",
            "ValueBytes = 1048576",
            "TtlMinMs = 1000",
            "",
        ].join("\n");
        writeFileSync(join(this.folder, `${name}.toml`), text);
    }

    /** Starts a process with the words of `run` in the deploy file. */
    private start(name: string): ChildProcess {
        const deploy = parse(readFileSync("deploy/system.toml", "utf8")) as {
            readonly roles: { readonly entry: { readonly run: string } };
        };
        const [program, ...words] = deploy.roles.entry.run.split(" ");
        const log = openSync(join(this.folder, `${name}.log`), "a");
        return spawn(program!, words, {
            stdio: ["ignore", log, log],
            env: {
                PATH: process.env["PATH"],
                HOME: process.env["HOME"],
                CHERVILROUTER_NODE_FILE: join(this.folder, `${name}.toml`),
            },
        });
    }

    /** Text that the process of an entry instance has logged so far. */
    public logOf({ name }: Entry): string {
        return readFileSync(join(this.folder, `${name}.log`), "utf8");
    }

    /** Memory of the process of an entry instance that is in use, in megabytes; 0 if it has ended. */
    private residentMegabytesOf({ process: { pid } }: Entry): number {
        try {
            const status = readFileSync(`/proc/${pid}/status`, "utf8");
            return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1_000;
        } catch {
            return 0;
        }
    }

    /** Waits until every entry instance is ready; rejects after some seconds. */
    public async whenReady(isReady: () => boolean): Promise<void> {
        const deadline = Date.now() + 25_000;
        for (;;) {
            const states = await Promise.all(this.entries.map(entry => askReadiness(entry, 1_000)));
            if (states.every(Boolean) && isReady()) {
                return;
            }
            if (Date.now() > deadline) {
                throw new Error("the deployment did not become ready");
            }
            await pause(100);
        }
    }

    public close(): void {
        this.isClosing = true;
        clearInterval(this.memoryTimer);
        this.entries.forEach(entry => entry.process.kill("SIGKILL"));
        this.store.close();
        if (process.env["KEEP_LOGS"] === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        } else {
            process.stdout.write(`logs: ${this.folder}\n`);
        }
    }
}

/** Asks an entry instance whether it is ready, as the platform does. */
export function askReadiness(entry: Entry, timeoutMilliseconds: number): Promise<boolean> {
    return new Promise(resolve => {
        const request = http.get(
            { host: "127.0.0.1", port: entry.port + 1, path: "/api/readiness", agent: false },
            response => {
                response.resume();
                clearTimeout(timer);
                resolve(response.statusCode === 200);
            },
        );
        const timer = setTimeout(() => request.destroy(), timeoutMilliseconds);
        request.on("error", () => {
            clearTimeout(timer);
            resolve(false);
        });
    });
}

export function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
