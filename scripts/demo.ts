/** `npm run demo` runs all processes on loopback ports until interrupted; `--check` sends real requests and exits. */
import { cac } from "cac";
import { runChecks } from "./demo-checks.js";
import { Demo } from "./demo-deployment.js";
import type { ProcessEnd } from "./demo-process.js";

const parentPollIntervalMilliseconds = 500;

interface Options {
    readonly portsFrom?: number;
    readonly check?: boolean;
    readonly ignoreFencing?: boolean;
    readonly seed?: number;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

function reportEnd(end: ProcessEnd): void {
    const how = end.signal ?? `code ${end.code}`;
    process.stderr.write(`demo: ${end.name} ended unexpectedly (${how})\n`);
    end.lines.forEach(line => process.stderr.write(`demo: ${end.name}: ${line}\n`));
}

/** Calls `onInterrupt` once: on a signal, or when the process that started the demo has ended. */
function watchInterrupts(onInterrupt: () => void): void {
    let isInterrupted = false;
    const interruptOnce = (): void => {
        if (!isInterrupted) {
            isInterrupted = true;
            onInterrupt();
        }
    };
    const signals: readonly NodeJS.Signals[] = ["SIGINT", "SIGTERM", "SIGHUP"];
    signals.forEach(signal => process.on(signal, interruptOnce));
    const parent = process.ppid;
    setInterval(() => {
        if (process.ppid !== parent) {
            interruptOnce();
        }
    }, parentPollIntervalMilliseconds).unref();
}

async function runWithChecks(demo: Demo): Promise<boolean> {
    const results = await runChecks(demo.ready(), ({ entry, check, problem }) => {
        print(`${problem === undefined ? "ok" : "FAILED"} ${entry} ${check}${problem ? `: ${problem}` : ""}`);
    });
    const failed = results.filter(result => result.problem !== undefined).length;
    print(`${results.length - failed} checks passed, ${failed} failed`);
    return failed === 0;
}

async function run(options: Options): Promise<void> {
    let isStopping = false;
    const starting = Demo.create({
        portsFrom: options.portsFrom === undefined ? undefined : Number(options.portsFrom),
        checksFencing: options.ignoreFencing !== true,
        seed: options.seed === undefined ? undefined : Number(options.seed),
        isInterrupted: () => isStopping,
        onUnexpectedEnd: end => {
            if (!isStopping) {
                reportEnd(end);
            }
        },
    });
    const stop = async (code: number): Promise<void> => {
        isStopping = true;
        await starting.then(
            demo => demo.stop(),
            () => undefined,
        );
        process.exit(code);
    };
    watchInterrupts(() => void stop(0));
    try {
        const demo = await starting;
        if (isStopping) {
            return;
        }
        print(JSON.stringify(demo.ready()));
        if (options.check === true) {
            await stop((await runWithChecks(demo)) ? 0 : 1);
        }
    } catch (thrown) {
        process.stderr.write(`demo: ${thrown instanceof Error ? thrown.message : String(thrown)}\n`);
        await stop(1);
    }
}

const commands = cac("demo");
commands
    .command("", "Run the demo until interrupted")
    .option("--ports-from <port>", "First of the consecutive ports; free ones are picked by default")
    .option("--check", "Send real requests through every entry instance, print a line for each, and exit")
    .option("--ignore-fencing", "Let engines accept orders with an old fencing number")
    .option("--seed <seed>", "Seed of the stand-ins")
    .action(run);
commands.help();
commands.parse(process.argv, { run: false });
await commands.runMatchedCommand();
