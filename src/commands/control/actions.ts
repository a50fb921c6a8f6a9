/** Subcommands of chervil-control that read and write configuration paths. */
import type { KeyValueEntry } from "../../contracts/key-value-stores.js";
import { configurationPrefix, safeParseConfigurationValue } from "../../core/configuration-values.js";
import type { Fault, Result } from "../../core/errors.js";
import type { OutputFormat } from "./output.js";
import { exitCodes, formatChange, printResult, printFault, printWrite, formatValue } from "./output.js";
import type { ConfigurationChange } from "./configuration-tree.js";
import { diffConfigurationTree, normalizeJson, readConfigurationTree } from "./configuration-tree.js";
import type { WriteContext } from "./writes.js";
import { writeOnce } from "./writes.js";

/** Dependencies of the subcommands. */
export interface ControlContext extends WriteContext {
    readonly format: OutputFormat;
}

function storeCallOptions(context: ControlContext): {
    readonly deadline: number;
    readonly priority: "configuration";
} {
    const deadline = context.clock.monotonicMilliseconds() + context.callTimeoutMilliseconds;
    return { deadline, priority: "configuration" };
}

/** Returns the full key of a path whose leading `config/` may be left out. */
export function fullPath(path: string): string {
    return path.startsWith(configurationPrefix) ? path : `${configurationPrefix}${path}`;
}

async function listEntries(
    context: ControlContext,
    prefix: string,
): Promise<Result<readonly KeyValueEntry[]>> {
    const read = await context.store.list(prefix, storeCallOptions(context));
    return read.success ? { success: true, data: read.data.entries } : read;
}

function formatEntry(entry: KeyValueEntry): string {
    return `${entry.key} (revision ${entry.modRevision}): ${formatValue(entry.key, entry.value)}`;
}

function toEntryDocument(entry: KeyValueEntry): unknown {
    return { key: entry.key, revision: entry.modRevision, value: formatValue(entry.key, entry.value) };
}

/** Shows one path. */
export async function getPath(context: ControlContext, path: string): Promise<void> {
    const key = fullPath(path);
    const read = await context.store.get(key, storeCallOptions(context));
    if (!read.success) {
        printFault(context.format, read.fault);
        return;
    }
    const entry = read.data.entries[0];
    if (entry === undefined) {
        printFault(context.format, missingPathFault(key));
        return;
    }
    printResult(context.format, formatEntry(entry), toEntryDocument(entry));
}

function missingPathFault(key: string): Fault {
    const message = `path "${key}" does not exist`;
    return { code: "notFound", message, step: "configure", path: [key], notRun: true };
}

/** Shows every path below a prefix. */
export async function listPaths(context: ControlContext, prefix: string): Promise<void> {
    const present = await listEntries(context, fullPath(prefix));
    if (!present.success) {
        printFault(context.format, present.fault);
        return;
    }
    for (const entry of present.data) {
        printResult(context.format, formatEntry(entry), toEntryDocument(entry));
    }
}

/** Sets or deletes one path; expects the revision given or, if there is none, the one just read. */
export async function setPath(
    context: ControlContext,
    path: string,
    text: string | undefined,
    seenRevision: number | undefined,
): Promise<void> {
    const key = fullPath(path);
    const value = text === undefined ? undefined : normalizeJson(text);
    const parsed = value === undefined ? undefined : safeParseConfigurationValue(key, value);
    if (parsed !== undefined && !parsed.success) {
        printFault(context.format, parsed.fault, exitCodes.usage);
        return;
    }
    const read = await context.store.get(key, storeCallOptions(context));
    if (!read.success) {
        printFault(context.format, read.fault);
        return;
    }
    const presentRevision = read.data.entries[0]?.modRevision ?? 0;
    const write = { key, value, expectedRevision: seenRevision ?? presentRevision };
    printWrite(context.format, write, await writeOnce(context, write));
}

async function readChanges(
    context: ControlContext,
    directory: string,
): Promise<readonly ConfigurationChange[] | undefined> {
    const tree = readConfigurationTree(directory);
    if (!tree.success) {
        printFault(context.format, tree.fault, exitCodes.usage);
        return undefined;
    }
    const present = await listEntries(context, configurationPrefix);
    if (!present.success) {
        printFault(context.format, present.fault);
        return undefined;
    }
    return diffConfigurationTree(tree.data, present.data);
}

function printChanges(context: ControlContext, changes: readonly ConfigurationChange[]): void {
    for (const change of changes) {
        const { kind, key } = change;
        const document = {
            kind,
            key,
            before: formatValue(key, change.before),
            after: formatValue(key, change.value),
        };
        printResult(context.format, formatChange(change), document);
    }
}

/** Shows what applying a directory would change; exit code 5 if there are changes. */
export async function diffDirectory(context: ControlContext, directory: string): Promise<void> {
    const changes = await readChanges(context, directory);
    if (changes !== undefined) {
        printChanges(context, changes);
        process.exitCode = changes.length > 0 ? exitCodes.different : exitCodes.done;
    }
}

/** Applies a directory path by path; stops at the first write that is not accepted. */
export async function applyDirectory(
    context: ControlContext,
    directory: string,
    isDryRun: boolean,
): Promise<void> {
    const changes = await readChanges(context, directory);
    if (changes === undefined) {
        return;
    }
    if (isDryRun) {
        printChanges(context, changes);
        return;
    }
    for (const [index, change] of changes.entries()) {
        if (!printWrite(context.format, change, await writeOnce(context, change))) {
            const remaining = changes.length - index - 1;
            process.stderr.write(
                `stopped: ${index} accepted, ${remaining} not tried; run diff to see what remains\n`,
            );
            return;
        }
    }
    printResult(context.format, `${changes.length} changes accepted`, { accepted: changes.length });
}

/** Shows changes below a prefix until interrupted. */
export async function watchPaths(context: ControlContext, prefix: string): Promise<void> {
    const path = fullPath(prefix);
    const read = await context.store.list(path, storeCallOptions(context));
    if (!read.success) {
        printFault(context.format, read.fault);
        return;
    }
    context.store.watch(path, { ...read.data, revision: read.data.revision + 1 }).subscribe(event => {
        if (event.kind === "gap") {
            printFault(context.format, event.fault);
            return;
        }
        if (event.kind === "changes") {
            event.puts.forEach(entry =>
                printResult(context.format, formatEntry(entry), toEntryDocument(entry)),
            );
            event.deletes.forEach(key =>
                printResult(context.format, `${key} (deleted)`, { key, deleted: true }),
            );
        }
    });
}
