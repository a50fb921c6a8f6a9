/** Runs the demo as child processes: stand-ins, entry daemons and placer daemons on loopback ports. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "smol-toml";
import { systemClock } from "../src/links/system-clock.js";
import { createKeyValueStore } from "../src/links/key-value-store.js";
import { authorize, makeCall } from "./demo-calls.js";
import { applyDemoConfiguration } from "./demo-configuration.js";
import type { DaemonLayout, DemoLayout } from "./demo-layout.js";
import { countPorts, createLayout, demoCredentials, demoModel } from "./demo-layout.js";
import { findPorts } from "./free-ports.js";
import type { ProcessEnd } from "./demo-process.js";
import { DemoProcess } from "./demo-process.js";

const startTimeoutMilliseconds = 40_000;
const pollIntervalMilliseconds = 100;

/** Options of a demo. */
export interface DemoOptions {
    /** The first port; undefined picks free ones. */
    readonly portsFrom?: number;
    readonly enginesPerDomain?: number;
    readonly checksFencing?: boolean;
    readonly seed?: number;
    readonly onUnexpectedEnd: (end: ProcessEnd) => void;
    /** Returns true once the start should be abandoned. */
    readonly isInterrupted?: () => boolean;
}

/** Content of the line that the demo prints when it is ready. */
export interface DemoReady {
    readonly ready: true;
    readonly entries: readonly string[];
    readonly standIns: string;
    readonly credentials: readonly string[];
    readonly model: string;
    readonly service: { readonly action: string; readonly read: string };
    readonly processes: readonly { readonly name: string; readonly pid: number; readonly admin: string }[];
}

/** A running demo. */
export class Demo {
    public readonly layout: DemoLayout;
    private readonly directory: string;
    private readonly options: DemoOptions;
    private readonly running = new Map<string, DemoProcess>();

    private constructor(layout: DemoLayout, directory: string, options: DemoOptions) {
        this.layout = layout;
        this.directory = directory;
        this.options = options;
    }

    /** Starts all processes and waits until every entry instance serves; ends them all if that fails. */
    public static async create(options: DemoOptions): Promise<Demo> {
        const size = {
            enginesPerDomain: options.enginesPerDomain ?? 12,
            checksFencing: options.checksFencing ?? true,
            seed: options.seed ?? 1,
        };
        const firstPort = await findPorts(countPorts(size), options.portsFrom);
        const directory = await mkdtemp(join(tmpdir(), "chervil-demo-"));
        const demo = new Demo(createLayout(firstPort, size), directory, options);
        try {
            await demo.start(size.checksFencing);
        } catch (thrown) {
            await demo.stop();
            throw thrown;
        }
        return demo;
    }

    public ready(): DemoReady {
        const processes = [...this.running.values()].map(child => {
            const daemon = this.layout.daemons.find(candidate => candidate.name === child.name);
            return {
                name: child.name,
                pid: child.pid(),
                admin: `http://${daemon?.admin ?? this.layout.admin}`,
            };
        });
        return {
            ready: true,
            entries: this.entries(),
            standIns: this.standIns(),
            credentials: demoCredentials,
            model: demoModel,
            service: { action: "/services/tracker/assignments", read: "/services/tracker/boards/1" },
            processes,
        };
    }

    public entries(): readonly string[] {
        return this.layout.daemons.flatMap(daemon =>
            daemon.caller === undefined ? [] : [`http://${daemon.caller}`],
        );
    }

    public standIns(): string {
        return `http://${this.layout.admin}`;
    }

    public process(name: string): DemoProcess {
        const child = this.running.get(name);
        if (child === undefined) {
            throw new Error(`process "${name}" does not exist`);
        }
        return child;
    }

    /** Enables a fault of the stand-ins for `remaining` milliseconds; 0 disables it. */
    public async setFault(target: string, fault: string, remaining: number, size?: number): Promise<void> {
        const body = JSON.stringify({ target, fault, deadline: remaining, milliseconds: size });
        const response = await makeCall({ method: "POST", url: `${this.standIns()}/faults`, body });
        if (response.status !== 200) {
            throw new Error(`stand-ins rejected fault ${fault} of ${target}: ${response.body}`);
        }
    }

    /** Reads JSON from the stand-ins' admin port. */
    public async fetchJson<T>(path: string): Promise<T> {
        return (await makeCall({ method: "GET", url: `${this.standIns()}${path}` })).json as T;
    }

    /** Starts a daemon, or restarts one that has ended. */
    public async startDaemon(daemon: DaemonLayout): Promise<void> {
        const file = join(this.directory, `${daemon.name}.toml`);
        await writeFile(file, stringify(daemon.settings));
        this.startProcess(daemon.name, `src/commands/${daemon.command}.js`, file);
    }

    /** Waits until an entry daemon is ready. */
    public waitUntilReady(daemon: DaemonLayout): Promise<void> {
        return this.waitFor(`${daemon.name} is ready`, async () => {
            const health = await makeCall({ method: "GET", url: `http://${daemon.caller}/health/ready` });
            return health.status === 200;
        });
    }

    /** Waits until a condition holds; rejects after the start time-out or when a process has ended. */
    public async waitFor(name: string, holds: () => Promise<boolean>): Promise<void> {
        const deadline = systemClock.monotonicMilliseconds() + startTimeoutMilliseconds;
        while (!(await holds())) {
            if (this.options.isInterrupted?.() === true) {
                throw new Error("interrupted");
            }
            const ended = [...this.running.values()].find(child => !child.isRunning());
            if (systemClock.monotonicMilliseconds() > deadline || ended !== undefined) {
                const reason =
                    ended === undefined ? "within the start time-out" : `: ${ended.name} has ended`;
                throw new Error(`the demo did not reach "${name}" ${reason}`);
            }
            await new Promise(resolve => setTimeout(resolve, pollIntervalMilliseconds));
        }
    }

    /** Stops all processes, daemons before stand-ins, and removes their settings files. */
    public async stop(): Promise<void> {
        const children = [...this.running.values()];
        const daemons = children.filter(child => child.name !== "stand-ins");
        daemons.forEach(child => child.signal("SIGCONT"));
        await Promise.all(daemons.map(child => child.end("SIGTERM")));
        await Promise.all(children.map(child => child.end("SIGTERM")));
        await rm(this.directory, { recursive: true, force: true });
    }

    private startProcess(name: string, script: string, file: string): void {
        const child = DemoProcess.create(name, script, file, end => this.options.onUnexpectedEnd(end));
        this.running.set(name, child);
    }

    private async start(checksFencing: boolean): Promise<void> {
        const file = join(this.directory, "stand-ins.toml");
        await writeFile(file, stringify(this.layout.standIns));
        this.startProcess("stand-ins", "stand-ins/main.js", file);
        await this.waitFor("stand-ins", async () => {
            const response = await makeCall({ method: "GET", url: `${this.standIns()}/platform` });
            return response.status === 200;
        });
        await this.applyConfiguration(checksFencing);
        await Promise.all(this.layout.daemons.map(daemon => this.startDaemon(daemon)));
        const entries = this.layout.daemons.filter(daemon => daemon.caller !== undefined);
        await Promise.all(entries.map(daemon => this.waitUntilReady(daemon)));
        await Promise.all(entries.map(daemon => this.waitUntilServing(daemon)));
    }

    private async applyConfiguration(checksFencing: boolean): Promise<void> {
        const store = createKeyValueStore({
            addresses: [this.layout.platform],
            process: "demo",
            clock: systemClock,
            budget: { callsPerSecond: 1000, burst: 1000 },
        });
        try {
            await applyDemoConfiguration(store, checksFencing);
        } finally {
            store.close();
        }
    }

    /** Waits until an entry daemon responds to a completion with 200. */
    private waitUntilServing(daemon: DaemonLayout): Promise<void> {
        return this.waitFor(`${daemon.name} serves`, async () => {
            const response = await makeCall({
                method: "POST",
                url: `http://${daemon.caller}/v1/completions`,
                headers: authorize(demoCredentials[0]),
                body: JSON.stringify({ model: demoModel, prompt: "ready?", max_tokens: 1 }),
            });
            return response.status === 200;
        });
    }
}
