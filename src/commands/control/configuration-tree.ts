/** Configuration subtrees in a directory: one file `<path below config/>.json` for each path. */
import { readFileSync, readdirSync } from "node:fs";
import { join, relative, sep } from "node:path";
import type { KeyValueEntry } from "../../contracts/key-value-stores.js";
import { configurationPrefix, safeParseConfigurationValue } from "../../core/configuration-values.js";
import type { Fault, Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import type { OperatorWrite } from "./writes.js";

const fileExtension = ".json";

/** A change that applying a directory makes. */
export interface ConfigurationChange extends OperatorWrite {
    readonly kind: "add" | "change" | "remove";
    /** The value in the key-value service; undefined if the path is new. */
    readonly before: string | undefined;
}

function invalidTree(message: string, path: readonly (string | number)[]): Fault {
    return { code: "invalidConfiguration", message, step: "configure", path, notRun: true };
}

/** Reads and validates every file of a directory; one fault reports all invalid files. */
export function readConfigurationTree(directory: string): Result<ReadonlyMap<string, string>> {
    let files: readonly string[];
    try {
        files = readdirSync(directory, { recursive: true, encoding: "utf8" }).filter(file =>
            file.endsWith(fileExtension),
        );
    } catch {
        return fail(invalidTree(`directory "${directory}" cannot be read`, []));
    }
    const values = new Map<string, string>();
    const faults: Fault[] = [];
    for (const file of files) {
        const key = keyOf(directory, file);
        const value = normalizeJson(readFileSync(join(directory, file), "utf8"));
        const parsed = safeParseConfigurationValue(key, value);
        if (!parsed.success) {
            faults.push(parsed.fault);
        }
        values.set(key, value);
    }
    if (files.length === 0) {
        return fail(invalidTree(`directory "${directory}" holds no ${fileExtension} file`, []));
    }
    const [first] = faults;
    if (first !== undefined) {
        return fail(invalidTree(faults.map(fault => fault.message).join("; "), first.path ?? []));
    }
    return succeed(values);
}

function keyOf(directory: string, file: string): string {
    const path = relative(directory, join(directory, file)).split(sep).join("/");
    return `${configurationPrefix}${path.slice(0, -fileExtension.length)}`;
}

/** Returns JSON without white space between its parts, so that layout makes no difference; other text unchanged. */
export function normalizeJson(text: string): string {
    try {
        return JSON.stringify(JSON.parse(text));
    } catch {
        return text;
    }
}

/** Returns the prefixes of the subtrees for which a directory has files; entries there without a file are removed. */
function ownedPrefixes(keys: Iterable<string>): ReadonlySet<string> {
    const prefixes = new Set<string>();
    for (const key of keys) {
        const parts = key.split("/");
        prefixes.add(parts.slice(0, parts[1] === "teams" ? 3 : 2).join("/") + "/");
    }
    return prefixes;
}

/** Compares a directory with the stored entries. Subtrees for which the directory has no files are left alone. */
export function diffConfigurationTree(
    desired: ReadonlyMap<string, string>,
    present: readonly KeyValueEntry[],
): readonly ConfigurationChange[] {
    const byKey = new Map(present.map(entry => [entry.key, entry]));
    const prefixes = [...ownedPrefixes(desired.keys())];
    const changes: ConfigurationChange[] = [];
    for (const [key, value] of desired) {
        const entry = byKey.get(key);
        if (entry === undefined) {
            changes.push({ kind: "add", key, value, before: undefined, expectedRevision: 0 });
        } else if (normalizeJson(entry.value) !== value) {
            const { value: before, modRevision: expectedRevision } = entry;
            changes.push({ kind: "change", key, value, before, expectedRevision });
        }
    }
    for (const { key, value: before, modRevision: expectedRevision } of present) {
        if (!desired.has(key) && prefixes.some(prefix => key.startsWith(prefix))) {
            changes.push({ kind: "remove", key, value: undefined, before, expectedRevision });
        }
    }
    return changes;
}
