/** One serving process of the soak, which can be started, asked to end, killed, paused and resumed. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";

/** Number of ports that one entry instance uses. */
export const portsPerEntry = 4;
/** Time bounds in the settings of the processes. */
export const entryBounds = {
    graceMilliseconds: 4_000,
    configurationMilliseconds: 2_000,
    drainMilliseconds: 2_000,
    toleranceMilliseconds: 3_000,
    /** Time for which a process may have read a request that it neither passes on nor answers. */
    lossSlackMilliseconds: 200,
};
/** Retry budget of all entry instances together. */
export const entryRetryBudget = { windowMilliseconds: 10_000, fraction: 0.2, allowance: 60 };

/** Times for which a slowed process stands still and runs by turns, in milliseconds. */
const slowStopMilliseconds = 850;
const slowRunMilliseconds = 60;

export interface EntryOptions {
    readonly name: string;
    /** First of the instance's ports on the loopback address. */
    readonly firstPort: number;
    readonly storeAddress: string;
    readonly heartbeatMilliseconds: number;
    /** Program file of the serving process. */
    readonly program: string;
    /** Program of an earlier version, which each entry instance runs at its first start and at every second one after it. */
    readonly earlierProgram?: string;
    /** Directory of the settings and the log of the process. */
    readonly directory: string;
    /** Called when a process ends that was not killed; `code` is undefined if a signal ended it. */
    readonly onExit: (name: string, code: number | undefined, wasTold: boolean) => void;
}

/** One run of the process: the signals it was sent, and whether it still runs. */
export interface EntryProcess {
    readonly child: ChildProcess;
    isRunning: boolean;
    /** True once the process has written to its log; from then on it handles signals. */
    hasStarted: boolean;
    wasAskedToEnd: boolean;
    /** When the process was asked to end, by `performance.now()`; Infinity before. */
    askedToEndAt: number;
    wasKilled: boolean;
    isPaused: boolean;
    /** When the process was last resumed after a pause, by `performance.now()`; -Infinity if it never was. */
    resumedAt: number;
}

export class SoakEntry {
    /** Number of process starts so far. */
    public starts = 0;
    /** The latest run of the process. */
    public currentProcess: EntryProcess | undefined;

    private constructor(private readonly options: EntryOptions) {}

    public static create(options: EntryOptions): SoakEntry {
        writeFileSync(join(options.directory, `${options.name}.toml`), renderSettings(options));
        return new SoakEntry(options);
    }

    public get name(): string {
        return this.options.name;
    }

    public get callerPort(): number {
        return this.options.firstPort;
    }

    public get readinessPort(): number {
        return this.options.firstPort + 1;
    }

    public get isRunning(): boolean {
        return this.currentProcess?.isRunning === true;
    }

    public get isPaused(): boolean {
        return this.currentProcess?.isPaused === true;
    }

    /** True if the process runs and was sent no signal that callers may notice. */
    public get isUndisturbed(): boolean {
        const { currentProcess: run } = this;
        return run?.isRunning === true && !run.wasAskedToEnd && !run.wasKilled && !run.isPaused;
    }

    public start(): void {
        const { name, program, earlierProgram, directory } = this.options;
        const isEarlier = earlierProgram !== undefined && this.starts % 2 === 0;
        const child = spawn(
            process.execPath,
            [isEarlier ? earlierProgram : program, "--settings", join(directory, `${name}.toml`)],
            {
                stdio: ["ignore", "pipe", "pipe"],
            },
        );
        this.starts += 1;
        const currentProcess: EntryProcess = {
            child,
            isRunning: true,
            hasStarted: false,
            wasAskedToEnd: false,
            askedToEndAt: Infinity,
            wasKilled: false,
            isPaused: false,
            resumedAt: -Infinity,
        };
        this.currentProcess = currentProcess;
        const log = createWriteStream(join(directory, `${name}.log`), { flags: "a" });
        child.stdout.once("data", () => (currentProcess.hasStarted = true));
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", code => {
            currentProcess.isRunning = false;
            log.end();
            // A process that gets SIGTERM before its program runs ends by the signal; it has accepted no callers by then.
            const endedBeforeStart = currentProcess.wasAskedToEnd && !currentProcess.hasStarted;
            if (!currentProcess.wasKilled && !endedBeforeStart) {
                this.options.onExit(name, code ?? undefined, currentProcess.wasAskedToEnd);
            }
        });
    }

    /** Asks the process to end. */
    public terminate(): void {
        this.signal("SIGTERM", { wasAskedToEnd: true, askedToEndAt: performance.now() });
    }

    public kill(): void {
        this.signal("SIGKILL", { wasKilled: true });
    }

    public pause(): void {
        this.signal("SIGSTOP", { isPaused: true });
    }

    /** Stops the process and lets it run by turns, until `isOver`. */
    public async slowDown(isOver: () => boolean): Promise<void> {
        const { currentProcess } = this;
        this.pause();
        while (!isOver() && currentProcess?.isRunning === true) {
            await delay(slowStopMilliseconds);
            currentProcess.child.kill("SIGCONT");
            await delay(slowRunMilliseconds);
            currentProcess.child.kill("SIGSTOP");
        }
        this.resume();
    }

    public resume(): void {
        this.signal("SIGCONT", { isPaused: false, resumedAt: performance.now() });
    }

    private signal(signal: NodeJS.Signals, change: Partial<EntryProcess>): void {
        if (this.currentProcess !== undefined) {
            Object.assign(this.currentProcess, change);
            this.currentProcess.child.kill(signal);
        }
    }
}

function renderSettings({ name, firstPort, storeAddress, heartbeatMilliseconds }: EntryOptions): string {
    const { graceMilliseconds, configurationMilliseconds, drainMilliseconds, toleranceMilliseconds } =
        entryBounds;
    return [
        `NodeName = "${name}"`,
        'Ip = "127.0.0.1"',
        'Zone = "zone-a"',
        `InternalPorts = [${firstPort + 2}, ${firstPort + 3}]`,
        `HeartbeatMs = ${heartbeatMilliseconds}`,
        "[Zones]",
        'zone-a = "region"',
        "[Listen]",
        `Front = "127.0.0.1:${firstPort}"`,
        `Ready = "127.0.0.1:${firstPort + 1}"`,
        "[Bounds]",
        `GraceS = ${graceMilliseconds / 1_000}`,
        `ConfigApplyMs = ${configurationMilliseconds}`,
        `DrainMs = ${drainMilliseconds}`,
        `StabilityWindowMs = ${toleranceMilliseconds}`,
        `RetryBudgetRatio = ${entryRetryBudget.fraction}`,
        `BudgetWindowS = ${entryRetryBudget.windowMilliseconds / 1_000}`,
        `BudgetExtraRetries = ${entryRetryBudget.allowance}`,
        "[Provider]",
        `Address = "${storeAddress}"`,
        "TtlMinMs = 1000",
        "",
    ].join("\n");
}
