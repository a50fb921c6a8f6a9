/** Child processes of the demo: started, watched, signalled and ended by their id. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const keptLines = 30;
const stopMilliseconds = 8000;

/** Directory of the package, above both the sources and `dist`. */
export function findPackageDirectory(): string {
    let directory = dirname(fileURLToPath(import.meta.url));
    while (!existsSync(join(directory, "package.json"))) {
        directory = dirname(directory);
    }
    return directory;
}

/** How a process ended. */
export interface ProcessEnd {
    readonly name: string;
    readonly code: number | undefined;
    readonly signal: string | undefined;
    /** The last lines that it wrote. */
    readonly lines: readonly string[];
}

/** One child process. */
export class DemoProcess {
    public readonly name: string;
    private readonly child: ChildProcess;
    private readonly lines: string[] = [];
    private readonly ending: Promise<ProcessEnd>;
    private ended = false;
    private expectsEnd = false;

    private constructor(name: string, child: ChildProcess, onUnexpectedEnd: (end: ProcessEnd) => void) {
        this.name = name;
        this.child = child;
        child.stdout?.on("data", (chunk: Buffer) => this.keep(chunk));
        child.stderr?.on("data", (chunk: Buffer) => this.keep(chunk));
        this.ending = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.ended = true;
                const end = {
                    name,
                    code: code ?? undefined,
                    signal: signal ?? undefined,
                    lines: [...this.lines],
                };
                resolve(end);
                if (!this.expectsEnd) {
                    onUnexpectedEnd(end);
                }
            });
        });
    }

    /** Starts `dist/<script>` with a settings file. */
    public static create(
        name: string,
        script: string,
        settingsFile: string,
        onUnexpectedEnd: (end: ProcessEnd) => void,
    ): DemoProcess {
        const path = join(findPackageDirectory(), "dist", script);
        const child = spawn(process.execPath, [path, "--settings", settingsFile], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        return new DemoProcess(name, child, onUnexpectedEnd);
    }

    public pid(): number {
        return this.child.pid ?? 0;
    }

    public isRunning(): boolean {
        return !this.ended;
    }

    /** The last lines that the process wrote. */
    public output(): readonly string[] {
        return this.lines;
    }

    public signal(signal: "SIGSTOP" | "SIGCONT"): void {
        this.child.kill(signal);
    }

    /** Ends the process; `signal` SIGTERM lets it finish its work. */
    public async end(
        signal: "SIGTERM" | "SIGKILL",
        waitMilliseconds = stopMilliseconds,
    ): Promise<ProcessEnd> {
        this.expectsEnd = true;
        if (this.ended) {
            return this.ending;
        }
        this.child.kill(signal);
        const timer = setTimeout(() => this.child.kill("SIGKILL"), waitMilliseconds);
        const end = await this.ending;
        clearTimeout(timer);
        return end;
    }

    private keep(chunk: Buffer): void {
        this.lines.push(...chunk.toString("utf8").split("\n").filter(Boolean));
        this.lines.splice(0, Math.max(0, this.lines.length - keptLines));
    }
}
