/** Command line shared by the daemons: settings file, signals and exit codes. */
import { cac } from "cac";
import { ChervilError, toFault } from "../core/errors.js";
import type { Settings } from "../daemons/settings.js";
import { readSettings } from "../daemons/settings.js";
import { readVersion } from "./command-support.js";

const invalidSettingsExitCode = 2;
const failureExitCode = 1;

/** A running daemon. */
export interface RunningDaemon {
    /** Finishes the work in progress, then releases leases and ports. */
    readonly stop: (reason: string) => Promise<void>;
}

interface DaemonOptions {
    readonly settings?: string;
    readonly checkSettings?: boolean;
}

/** Parses the command line and runs a daemon until a signal stops it. */
export async function runDaemonCommand(
    name: string,
    description: string,
    start: (settings: Settings) => Promise<RunningDaemon>,
): Promise<void> {
    const commands = cac(name);
    commands
        .command("", description)
        .option("--settings <file>", "TOML settings file")
        .option("--check-settings", "Check the settings file and exit")
        .action((options: DaemonOptions) => runDaemon(name, options, start));
    commands.help();
    commands.version(readVersion());
    try {
        commands.parse(process.argv, { run: false });
        await commands.runMatchedCommand();
    } catch (thrown) {
        reportFailure(name, thrown, failureExitCode);
    }
}

async function runDaemon(
    name: string,
    options: DaemonOptions,
    start: (settings: Settings) => Promise<RunningDaemon>,
): Promise<void> {
    let settings: Settings;
    try {
        settings = readSettings(requireSettingsFile(options.settings));
    } catch (thrown) {
        reportFailure(name, thrown, invalidSettingsExitCode);
        return;
    }
    if (options.checkSettings === true) {
        process.stdout.write(`settings file "${String(options.settings)}" is valid\n`);
        return;
    }
    stopOnSignals(name, await start(settings));
}

function requireSettingsFile(file: string | undefined): string {
    if (file === undefined) {
        const message = "expected --settings FILE";
        throw ChervilError.create({ code: "invalidSettings", message, step: "settings", notRun: true });
    }
    return file;
}

/** Stops the daemon gracefully on the first signal; a second signal ends the process at once. */
function stopOnSignals(name: string, daemon: RunningDaemon): void {
    let isStopping = false;
    const stop = (signal: string): void => {
        if (isStopping) {
            process.exit(failureExitCode);
        }
        isStopping = true;
        daemon.stop(signal).then(
            () => process.exit(0),
            (thrown: unknown) => {
                reportFailure(name, thrown, failureExitCode);
                process.exit(failureExitCode);
            },
        );
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

function reportFailure(name: string, thrown: unknown, exitCode: number): void {
    const fault = toFault(thrown, "settings");
    process.stderr.write(`${name}: ${fault.message}\n`);
    process.exitCode = exitCode;
}
