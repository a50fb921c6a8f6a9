/** One serving process of the soak: it is started, told to end, killed, paused and started again. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Ports that one entry instance takes. */
export const portsPerEntry = 4;
/** Bounds in the settings of the processes, in milliseconds. */
export const entryBounds = {
    graceMilliseconds: 4_000,
    drainMilliseconds: 2_000,
    toleranceMilliseconds: 3_000,
};
/** Retry budget of all entry instances together. */
export const entryRepeats = { windowMilliseconds: 10_000, fraction: 0.2, allowance: 60 };

export interface EntryOptions {
    readonly name: string;
    /** First of its ports on the loopback address. */
    readonly firstPort: number;
    readonly storeAddress: string;
    readonly heartbeatMilliseconds: number;
    /** Program file of the serving process. */
    readonly program: string;
    /** Directory for its settings and its log. */
    readonly directory: string;
    /** Takes the end of a process that nobody killed; `code` is undefined if a signal ended it. */
    readonly onOwnEnd: (name: string, code: number | undefined, wasTold: boolean) => void;
}

export class SoakEntry {
    /** Starts so far. */
    public starts = 0;
    public isPaused = false;
    private child: ChildProcess | undefined;
    private wasTold = false;
    private wasKilled = false;

    private constructor(private readonly options: EntryOptions) {}

    public static create(options: EntryOptions): SoakEntry {
        writeFileSync(join(options.directory, `${options.name}.toml`), settingsOf(options));
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
        return this.child !== undefined;
    }

    /** True if the process runs and nothing was done to it that callers may notice. */
    public get isSound(): boolean {
        return this.isRunning && !this.wasTold && !this.wasKilled && !this.isPaused;
    }

    public start(): void {
        const { name, program, directory } = this.options;
        const child = spawn(process.execPath, [program, "--settings", join(directory, `${name}.toml`)], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.starts += 1;
        this.wasTold = false;
        this.wasKilled = false;
        this.isPaused = false;
        this.child = child;
        const log = createWriteStream(join(directory, `${name}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", code => {
            this.child = undefined;
            log.end();
            if (!this.wasKilled) {
                this.options.onOwnEnd(name, code ?? undefined, this.wasTold);
            }
        });
    }

    /** Asks the process to end. */
    public terminate(): void {
        this.wasTold = true;
        this.child?.kill("SIGTERM");
    }

    public kill(): void {
        this.wasKilled = true;
        this.child?.kill("SIGKILL");
    }

    public pause(): void {
        this.isPaused = true;
        this.child?.kill("SIGSTOP");
    }

    public resume(): void {
        this.isPaused = false;
        this.child?.kill("SIGCONT");
    }
}

function settingsOf({ name, firstPort, storeAddress, heartbeatMilliseconds }: EntryOptions): string {
    const { graceMilliseconds, drainMilliseconds, toleranceMilliseconds } = entryBounds;
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
        `DrainMs = ${drainMilliseconds}`,
        `StabilityWindowMs = ${toleranceMilliseconds}`,
        `RetryBudgetRatio = ${entryRepeats.fraction}`,
        `BudgetWindowS = ${entryRepeats.windowMilliseconds / 1_000}`,
        `BudgetExtraRetries = ${entryRepeats.allowance}`,
        "[Provider]",
        `Address = "${storeAddress}"`,
        "TtlMinMs = 1000",
        "",
    ].join("\n");
}
