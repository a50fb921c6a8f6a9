/**
 * A small deployment for the cases of the second review: serving processes started with the command of the deploy file, a
 * stand-in for the store, and stand-ins for replicas. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { StandInStore } from "../platform/stand-ins/store.js";
import { findPorts } from "../scripts/free-ports.js";
import { PlainReplica } from "./replica-2.js";

export const host = "ficu95.example";
export const tenantKeys = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"] as const;
export const heartbeatMilliseconds = 1_200;
/** Bounds of the sites, which the rules name. */
export const stabilityMilliseconds = 3_000;
export const modelName = "daka510000";
export const maximumHeaderBytes = 16_384;
export const maximumBodyBytes = 4_194_304;
export const zones = ["izm-a", "izm-b", "mns-c"] as const;
export const memoryMegabytes = 350;

/** Ports of one process: callers, readiness, and two for traffic between processes. */
const portsPerEntry = 4;
const bytesPerKibibyte = 1024;
const maximumStartMilliseconds = 15_000;
const settlingMilliseconds = 4_000;

export interface Entry {
    readonly name: string;
    readonly port: number;
    readonly child: ChildProcess;
    readonly log: string[];
    /** Exit code or signal; undefined while the process runs. */
    readonly end: () => string | undefined;
}

export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    readonly isComplete: boolean;
    readonly milliseconds: number;
}

export class Record {
    private readonly lines: string[] = [];
    private readonly startedAt = Date.now();

    public constructor(private readonly path: string) {}

    public write(text: string): void {
        const line = `${((Date.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${text}`;
        this.lines.push(line);
        process.stdout.write(`${line}\n`);
    }

    public save(): void {
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
    }
}

export class Deployment {
    public readonly entries: Entry[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "review-2-"));
    private readonly replicas: PlainReplica[] = [];

    private constructor(
        public readonly store: StandInStore,
        public readonly record: Record,
    ) {}

    public static async create(record: Record): Promise<Deployment> {
        const store = await StandInStore.create();
        store.put("op/config", configuration());
        return new Deployment(store, record);
    }

    /** Starts the replicas of the plain service, one in each zone. */
    public async startPlainReplicas(): Promise<readonly PlainReplica[]> {
        const started: PlainReplica[] = [];
        for (const [index, zone] of zones.entries()) {
            started.push(await this.startReplica(`i-plain-${index}`, "tracker-api", zone));
        }
        return started;
    }

    /** Starts replicas of the model in each zone. */
    public async startEngines(countPerZone: number): Promise<readonly PlainReplica[]> {
        const started: PlainReplica[] = [];
        for (const zone of zones) {
            for (let count = 0; count < countPerZone; count += 1) {
                const id = `i-engine-${started.length}`;
                started.push(await this.startReplica(id, "llm-pool", zone, modelName));
            }
        }
        return started;
    }

    private async startReplica(
        id: string,
        service: string,
        zone: string,
        model?: string,
    ): Promise<PlainReplica> {
        const { store } = this;
        const replica = await PlainReplica.create({ id, service, zone, store, heartbeatMilliseconds, model });
        this.replicas.push(replica);
        return replica;
    }

    /** Starts a serving process in a zone with the command of the deploy file. */
    public async startEntry(zone: string): Promise<Entry> {
        const port = await findPorts(portsPerEntry, undefined);
        const name = `front-${zone}-${this.entries.length + 1}`;
        const file = join(this.folder, `${name}.toml`);
        writeFileSync(file, settingsOf(name, zone, port, this.store.address));
        const words = ["--max-old-space-size=200", "target/chervil-serving.cjs", "--log-level", "info"];
        const child = spawn("node", words, {
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], CHERVILROUTER_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log: string[] = [];
        for (const output of [child.stdout, child.stderr]) {
            output.setEncoding("utf8");
            output.on("data", (text: string) => log.push(...text.split("\n").filter(line => line !== "")));
        }
        let end: string | undefined;
        child.once("exit", (code, signal) => {
            end = signal ?? `code ${code}`;
            this.record.write(`${name} (process ${child.pid}) ended: ${end}`);
        });
        // Covers an end of the driver itself.
        process.once("exit", () => end === undefined && child.kill("SIGKILL"));
        const entry: Entry = { name, port, child, log, end: () => end };
        this.entries.push(entry);
        this.record.write(`started ${name} (process ${child.pid}), callers' port ${port}`);
        return entry;
    }

    /** Waits until all processes say that they are ready, and some time for them to get to know each other. */
    public async waitUntilReady(): Promise<void> {
        const until = Date.now() + maximumStartMilliseconds;
        for (const { port, end } of this.entries) {
            for (;;) {
                const answer = await call(port + 1, { path: "/api/readiness", timeout: 1_000 });
                if (answer.status === 200) {
                    break;
                }
                if (Date.now() > until || end() !== undefined) {
                    throw new Error("a serving process does not become ready");
                }
                await pause(50);
            }
        }
        await pause(settlingMilliseconds);
    }

    public async close(): Promise<void> {
        this.replicas.forEach(replica => replica.close());
        for (const { child, end } of this.entries) {
            if (end() === undefined) {
                child.kill("SIGKILL");
            }
        }
        const until = Date.now() + 2_000;
        while (Date.now() < until && this.entries.some(({ end }) => end() === undefined)) {
            await pause(20);
        }
        this.store.close();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

function settingsOf(name: string, zone: string, port: number, storeAddress: string): string {
    return [
        `NodeName = "${name}"`,
        'Role = "entry"',
        'MachineClass = "front"',
        'Serves = ["front"]',
        'Ip = "127.0.0.1"',
        `Zone = "${zone}"`,
        'Region = "tr-west"',
        `InternalPorts = [${port + 2},${port + 3}]`,
        "Seeds = []",
        "Bootstrap = false",
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
        `MemoryMb = ${memoryMegabytes}`,
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
        `StabilityWindowMs = ${stabilityMilliseconds}`,
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
        `Address = "${storeAddress}"`,
        'form = "kv"',
        "WritesPerS = 400",
        "ReadsPerS = 2000",
        "HistoryS = 20",
        "ValueBytes = 1048576",
        "TtlMinMs = 1000",
        "",
    ].join("\n");
}

const engine = {
    Slots: 18,
    KvTokens: 969_230,
    KvBytes: 50_752,
    LinkMbps: 400_000,
    Stride: 5,
    Models: [{ Name: modelName, size: 1, Share: 1, pace: 1, LoadS: 16, WarmS: 1.6 }],
    step_ms: 6.07,
    per_seq_ms: 0.348,
    context_per_k: 0.00705,
    read_per_s: 46_000,
    pairs_per_m: 0.7,
    chunk: 2_048,
    report_lag_ms: 200,
    LoadsPerS: 4,
    loads_at_once: 6,
    usual: { prompt: 1_076, answer: 116 },
    Keeps: 1,
    far_x: 2.5,
    FormMs: 300,
};

/** Routes, services and limits like those of the site aosb-tracker; a replica of the model is a group of one. */
function configuration(): unknown {
    const common = { Hostname: host, AllowAnonymous: false };
    const plain = { ...common, TimeoutMs: 800, TargetLatencyMs: 150, Priority: 2, Service: "tracker-api" };
    return {
        Version: 7,
        Routes: [
            { ...plain, Name: "ticket-assign", Prefix: "/assign/", Kind: "non_idempotent", MaxAttempts: 1 },
            { ...plain, Name: "board-read", Prefix: "/board/", Kind: "idempotent", MaxAttempts: 2 },
            {
                ...common,
                Name: "patch-note-draft",
                Prefix: "/draft/",
                Kind: "streaming",
                TimeoutMs: 6_000,
                TargetLatencyMs: 300,
                Priority: 1,
                Service: "llm-pool",
                MaxAttempts: 2,
                SessionAffinity: true,
                StreamResume: true,
                GapAimMs: 200,
            },
        ],
        Services: [
            { Name: "tracker-api", HealthPath: "/health", MaxConnections: 96, Protocol: "h1", Tls: false },
            {
                Name: "llm-pool",
                HealthPath: "/health",
                MaxConnections: 394,
                Protocol: "h1",
                Tls: false,
                Engine: engine,
            },
        ],
        Limits: {
            MaxHeaderBytes: maximumHeaderBytes,
            MaxBodyBytes: maximumBodyBytes,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "hule930", ApiKeys: tenantKeys, Priority: 1 }],
    };
}

export interface CallOptions {
    readonly path: string;
    readonly method?: string;
    readonly id?: string;
    readonly body?: string;
    readonly timeout?: number;
    readonly key?: string;
    /** Sent after all other headers; names and values in turn. */
    readonly more?: readonly string[];
}

/** Sends one request over a new connection. Status 0: there was no answer. */
export function call(port: number, options: CallOptions): Promise<Answer> {
    const {
        path,
        method = "GET",
        id = "none",
        body,
        timeout = 1_500,
        key = tenantKeys[0],
        more = [],
    } = options;
    const startedAt = Date.now();
    const headers = [
        ...["Host", host, "Chervilrouter-Request-Id", id, "Chervilrouter-Deadline-Ms", String(timeout)],
        ...["Authorization", `Bearer ${key}`],
        ...(body === undefined ? [] : ["Content-Length", String(Buffer.byteLength(body))]),
        ...more,
    ];
    return new Promise(resolve => {
        const end = (answer: Omit<Answer, "milliseconds">): void => {
            clearTimeout(timer);
            resolve({ ...answer, milliseconds: Date.now() - startedAt });
        };
        const request = http.request(
            {
                host: "127.0.0.1",
                port,
                path,
                method,
                agent: false,
                headers: headers as unknown as http.OutgoingHttpHeaders,
            },
            response => {
                const pieces: Buffer[] = [];
                response.on("data", (piece: Buffer) => pieces.push(piece));
                response.on("error", () => undefined);
                response.on("close", () =>
                    end({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(pieces).toString("latin1"),
                        isComplete: response.complete,
                    }),
                );
            },
        );
        const timer = setTimeout(() => request.destroy(new Error("the caller gave up")), timeout);
        request.on("error", () => end({ status: 0, headers: {}, body: "", isComplete: false }));
        request.end(body);
    });
}

/** Resident memory of a process in MB; undefined once it has ended. */
export function residentMegabytes(pid: number | undefined): number | undefined {
    try {
        const text = readFileSync(`/proc/${pid}/status`, "utf8");
        const kibibytes = /^VmRSS:\s+(\d+)/m.exec(text)?.[1];
        return kibibytes === undefined ? undefined : Number(kibibytes) / bytesPerKibibyte;
    } catch {
        return undefined;
    }
}

/** Counts the answers by status, for the record. */
export function countStatuses(answers: readonly Answer[]): string {
    const counts = new Map<number, number>();
    answers.forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
    return [...counts].map(([status, count]) => `${count} x ${status}`).join(", ");
}

/** Whether the disruption of a case is left out. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/**
 * Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. The first
 * argument is the folder of the case. `run` returns whether the rule was broken.
 */
export async function runCase(run: (deployment: Deployment) => Promise<boolean>): Promise<void> {
    const record = new Record(join(process.argv[2] ?? ".", "record.txt"));
    let code: number;
    process.once("uncaughtException", error => {
        record.write(`the case could not run: ${String(error)}`);
        record.save();
        process.exit(2);
    });
    process.once("SIGTERM", () => process.exit(2));
    process.once("SIGINT", () => process.exit(2));
    try {
        record.write(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        const deployment = await Deployment.create(record);
        try {
            const isBroken = await run(deployment);
            record.write(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            code = isBroken ? 1 : 0;
        } finally {
            await deployment.close();
        }
    } catch (thrown) {
        code = 2;
        record.write(`the case could not run: ${String(thrown)}`);
    }
    record.save();
    process.exit(code);
}
