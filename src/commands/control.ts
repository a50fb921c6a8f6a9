#!/usr/bin/env node
/** chervil-control: reads and changes the configuration, which is a tree of named paths, and shows the system's status. */
import { cac } from "cac";
import { systemClock } from "../links/system-clock.js";
import type { KeyValueStoreClient } from "../links/key-value-store.js";
import { createKeyValueStore } from "../links/key-value-store.js";
import type { ControlContext } from "./control/actions.js";
import { applyDirectory, diffDirectory, getPath, listPaths, setPath, watchPaths } from "./control/actions.js";
import type { OutputFormat } from "./control/output.js";
import { exitCodes } from "./control/output.js";
import { showStatus } from "./control/status.js";
import { exitWhenOutputCloses, readVersion } from "./command-support.js";

const storeTimeoutMilliseconds = 5_000;

interface ControlOptions {
    readonly store?: string;
    readonly admin?: string | readonly string[];
    readonly output: string;
    readonly dryRun?: boolean;
    readonly revision?: number;
}

function outputFormatOf(options: ControlOptions): OutputFormat {
    return options.output === "json" ? "json" : "text";
}

function reportUsageError(message: string): void {
    process.stderr.write(`chervil-control: ${message}\n`);
    process.exitCode = exitCodes.usage;
}

async function withStore(
    options: ControlOptions,
    action: (context: ControlContext) => Promise<void>,
    keepsRunning = false,
): Promise<void> {
    if (options.store === undefined) {
        reportUsageError("expected --store host:port[,host:port...], the key-value service's addresses");
        return;
    }
    const store: KeyValueStoreClient = createKeyValueStore({
        addresses: options.store.split(","),
        process: "chervil-control",
        clock: systemClock,
    });
    await action({
        store,
        clock: systemClock,
        callTimeoutMilliseconds: storeTimeoutMilliseconds,
        format: outputFormatOf(options),
    });
    if (!keepsRunning) {
        store.close();
    }
}

async function runStatus(options: ControlOptions): Promise<void> {
    const addresses = [options.admin ?? []].flat().flatMap(list => String(list).split(","));
    if (addresses.length === 0) {
        reportUsageError("expected --admin host:port[,host:port...], admin ports of entry processes");
        return;
    }
    await showStatus(outputFormatOf(options), addresses);
}

exitWhenOutputCloses();
const commands = cac("chervil-control");
commands.option("--store <addresses>", "Addresses of the key-value service, separated by commas");
commands.option("--output <format>", "text or json (one document a line)", { default: "text" });
commands
    .command("get <path>", "Show one path (the leading config/ may be left out)")
    .action((path: string, options: ControlOptions) => withStore(options, context => getPath(context, path)));
commands
    .command("list [prefix]", "Show every path below a prefix")
    .action((prefix: string | undefined, options: ControlOptions) =>
        withStore(options, context => listPaths(context, prefix ?? "")),
    );
commands
    .command("set <path> <value>", "Set one path to a JSON value")
    .option("--revision <revision>", "The revision that you saw; the present one is read if absent")
    .action((path: string, value: string, options: ControlOptions) =>
        withStore(options, context => setPath(context, path, String(value), options.revision)),
    );
commands
    .command("delete <path>", "Delete one path; its default applies from then on")
    .option("--revision <revision>", "The revision that you saw; the present one is read if absent")
    .action((path: string, options: ControlOptions) =>
        withStore(options, context => setPath(context, path, undefined, options.revision)),
    );
commands
    .command("apply <directory>", "Make the subtrees for which a directory has files equal to these files")
    .option("--dry-run", "Show the changes and make none")
    .action((directory: string, options: ControlOptions) =>
        withStore(options, context => applyDirectory(context, directory, options.dryRun === true)),
    );
commands
    .command("diff <directory>", "Show what apply would change; exit code 5 if there are changes")
    .action((directory: string, options: ControlOptions) =>
        withStore(options, context => diffDirectory(context, directory)),
    );
commands
    .command("watch [prefix]", "Show changes below a prefix until interrupted")
    .action((prefix: string | undefined, options: ControlOptions) =>
        withStore(options, context => watchPaths(context, prefix ?? ""), true),
    );
commands
    .command("status", "Show the status that entry processes report; works without the platform")
    .option("--admin <addresses>", "Admin ports of entry processes, separated by commas")
    .action(runStatus);
commands.help();
commands.version(readVersion());
try {
    commands.parse(process.argv, { run: false });
    if (
        commands.matchedCommand === undefined &&
        commands.options["help"] !== true &&
        commands.options["version"] !== true
    ) {
        reportUsageError("expected get, list, set, delete, apply, diff, watch or status; see --help");
    }
    await commands.runMatchedCommand();
} catch (thrown) {
    reportUsageError(thrown instanceof Error ? thrown.message : String(thrown));
}
