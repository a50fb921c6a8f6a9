/** Child processes of the demo: starts, watches, signals and stops each by its process id. */
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const maximumLines = 30;
const stopTimeoutMilliseconds = 8000;

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
    /** The last lines of the process's output. */
    readonly lines: readonly string[];
}

/** One child process. */
export class DemoProcess {
    public readonly name: string;
    private readonly child: ChildProcess;
    private readonly lines: string[] = [];
    private readonly ending: Promise<ProcessEnd>;
    private hasEnded = false;
    private isEndExpected = false;

    private constructor(name: string, child: ChildProcess, onUnexpectedEnd: (end: ProcessEnd) => void) {
        this.name = name;
        this.child = child;
        child.stdout?.on("data", (chunk: Buffer) => this.keepLines(chunk));
        child.stderr?.on("data", (chunk: Buffer) => this.keepLines(chunk));
        this.ending = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.hasEnded = true;
                const end = {
                    name,
                    code: code ?? undefined,
                    signal: signal ?? undefined,
                    lines: [...this.lines],
                };
                resolve(end);
                if (!this.isEndExpected) {
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
        return !this.hasEnded;
    }

    /** The last lines that the process wrote. */
    public output(): readonly string[] {
        return this.lines;
    }

    public signal(signal: "SIGSTOP" | "SIGCONT"): void {
        this.child.kill(signal);
    }

    /** Ends the process and kills it after the time-out; SIGTERM lets it finish its work first. */
    public async end(
        signal: "SIGTERM" | "SIGKILL",
        killAfterMilliseconds = stopTimeoutMilliseconds,
    ): Promise<ProcessEnd> {
        this.isEndExpected = true;
        if (this.hasEnded) {
            return this.ending;
        }
        this.child.kill(signal);
        const timer = setTimeout(() => this.child.kill("SIGKILL"), killAfterMilliseconds);
        const end = await this.ending;
        clearTimeout(timer);
        return end;
    }

    private keepLines(chunk: Buffer): void {
        this.lines.push(...chunk.toString("utf8").split("\n").filter(Boolean));
        this.lines.splice(0, Math.max(0, this.lines.length - maximumLines));
    }
}
