/** One serving process of the soak, which can be started, asked to end, killed, paused and resumed. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";

/** Number of ports that one entry instance uses. */
export const portsPerEntry = 4;
/** Time bounds in the settings of the processes. */
export const entryBounds = {
    graceMilliseconds: 4_000,
    configurationMilliseconds: 2_000,
    drainMilliseconds: 2_000,
    toleranceMilliseconds: 3_000,
};
/** Retry budget of all entry instances together. */
export const entryRepeats = { windowMilliseconds: 10_000, fraction: 0.2, allowance: 60 };

export interface EntryOptions {
    readonly name: string;
    /** First of the instance's ports on the loopback address. */
    readonly firstPort: number;
    readonly storeAddress: string;
    readonly heartbeatMilliseconds: number;
    /** Program file of the serving process. */
    readonly program: string;
    /** Directory of the settings and the log of the process. */
    readonly directory: string;
    /** Called when a process ends that was not killed; `code` is undefined if a signal ended it. */
    readonly onOwnEnd: (name: string, code: number | undefined, wasTold: boolean) => void;
}

/** One run of the process: the signals it was sent, and whether it still runs. */
export interface EntryLife {
    readonly child: ChildProcess;
    isRunning: boolean;
    /** True once the process has written to its log; from then on it handles signals. */
    hasStarted: boolean;
    wasTold: boolean;
    wasKilled: boolean;
    isPaused: boolean;
}

export class SoakEntry {
    /** Number of process starts so far. */
    public starts = 0;
    /** The latest run of the process. */
    public life: EntryLife | undefined;

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
        return this.life?.isRunning === true;
    }

    public get isPaused(): boolean {
        return this.life?.isPaused === true;
    }

    /** True if the process runs and was sent no signal that callers may notice. */
    public get isSound(): boolean {
        const { life } = this;
        return life?.isRunning === true && !life.wasTold && !life.wasKilled && !life.isPaused;
    }

    public start(): void {
        const { name, program, directory } = this.options;
        const child = spawn(process.execPath, [program, "--settings", join(directory, `${name}.toml`)], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.starts += 1;
        const life: EntryLife = {
            child,
            isRunning: true,
            hasStarted: false,
            wasTold: false,
            wasKilled: false,
            isPaused: false,
        };
        this.life = life;
        const log = createWriteStream(join(directory, `${name}.log`), { flags: "a" });
        child.stdout.once("data", () => (life.hasStarted = true));
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.once("exit", code => {
            life.isRunning = false;
            log.end();
            // A process that gets SIGTERM before its program runs ends by the signal; it has accepted no callers by then.
            const endedBeforeStart = life.wasTold && !life.hasStarted;
            if (!life.wasKilled && !endedBeforeStart) {
                this.options.onOwnEnd(name, code ?? undefined, life.wasTold);
            }
        });
    }

    /** Asks the process to end. */
    public terminate(): void {
        this.signal("SIGTERM", { wasTold: true });
    }

    public kill(): void {
        this.signal("SIGKILL", { wasKilled: true });
    }

    public pause(): void {
        this.signal("SIGSTOP", { isPaused: true });
    }

    public resume(): void {
        this.signal("SIGCONT", { isPaused: false });
    }

    private signal(signal: NodeJS.Signals, change: Partial<EntryLife>): void {
        if (this.life !== undefined) {
            Object.assign(this.life, change);
            this.life.child.kill(signal);
        }
    }
}

function settingsOf({ name, firstPort, storeAddress, heartbeatMilliseconds }: EntryOptions): string {
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
        `RetryBudgetRatio = ${entryRepeats.fraction}`,
        `BudgetWindowS = ${entryRepeats.windowMilliseconds / 1_000}`,
        `BudgetExtraRetries = ${entryRepeats.allowance}`,
        "[Provider]",
        `Address = "${storeAddress}"`,
        "TtlMinMs = 1000",
        "",
    ].join("\n");
}
