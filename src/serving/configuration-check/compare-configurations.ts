/** Lists what a new configuration changes, entry by entry. Credentials are secrets, so only their numbers are named. */
import type { ServingConfiguration } from "../serving-configuration.js";
import type { Finding } from "./findings.js";
import { reporter } from "./findings.js";

export interface Difference {
    readonly change: "added" | "removed" | "changed";
    readonly path: readonly string[];
    /** Undefined for entries that were added or removed as a whole. */
    readonly before?: string;
    readonly after?: string;
}

/** Returns the differences in the order of the sections, then of the entries' paths. */
export function compareConfigurations(
    before: ServingConfiguration,
    after: ServingConfiguration,
): readonly Difference[] {
    const sectionsBefore = describeSections(before);
    return describeSections(after).flatMap(([section, entries], index) =>
        compareEntries(section, sectionsBefore[index]![1], entries),
    );
}

/** Reports a version that processes ignore because it is not above the one in force. */
export function checkVersion(before: ServingConfiguration, after: ServingConfiguration): readonly Finding[] {
    return after.version > before.version
        ? []
        : [
              reporter("error", "unreachable")(
                  ["version"],
                  `version ${after.version} is not above version ${before.version}, which is in force, and is ignored`,
              ),
          ];
}

type Entries = ReadonlyMap<string, unknown>;

function describeSections(configuration: ServingConfiguration): readonly (readonly [string, Entries])[] {
    const { routes, services, limits, workspaces } = configuration;
    const byName = <T extends { readonly name: string }>(items: readonly T[]): Entries =>
        new Map(items.map(item => [item.name, item]));
    return [
        ["routes", byName(routes)],
        ["services", byName(services)],
        ["limits", new Map(Object.entries(limits))],
        [
            "workspaces",
            new Map(
                (workspaces ?? []).map(({ name, rank, credentials }) => [
                    name,
                    { rank, credentials: describeCredentials(credentials) },
                ]),
            ),
        ],
    ];
}

/** A text that is equal for equal sets of credentials and shows none of them. */
function describeCredentials(credentials: readonly string[]): CredentialSet {
    return { count: credentials.length, sorted: [...credentials].sort() };
}

interface CredentialSet {
    readonly count: number;
    readonly sorted: readonly string[];
}

function compareEntries(section: string, before: Entries, after: Entries): readonly Difference[] {
    const names = [...new Set([...before.keys(), ...after.keys()])].sort();
    return names.flatMap(name => {
        const path = [section, name];
        if (!before.has(name)) {
            return [{ change: "added" as const, path }];
        }
        return after.has(name)
            ? compareValues(path, before.get(name), after.get(name))
            : [{ change: "removed" as const, path }];
    });
}

function compareValues(path: readonly string[], before: unknown, after: unknown): readonly Difference[] {
    if (isCredentialSet(before) && isCredentialSet(after)) {
        const isSame = JSON.stringify(before.sorted) === JSON.stringify(after.sorted);
        const describe = ({ count }: CredentialSet): string => `${count} credentials`;
        return isSame ? [] : [{ change: "changed", path, before: describe(before), after: describe(after) }];
    }
    if (isRecord(before) && isRecord(after)) {
        const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
        return keys.flatMap(key => compareValues([...path, key], before[key], after[key]));
    }
    const [textBefore, textAfter] = [describeValue(before), describeValue(after)];
    return textBefore === textAfter
        ? []
        : [{ change: "changed", path, before: textBefore, after: textAfter }];
}

function describeValue(value: unknown): string {
    return value === undefined ? "none" : typeof value === "number" ? String(value) : JSON.stringify(value);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isCredentialSet(value: unknown): value is CredentialSet {
    return isRecord(value) && "sorted" in value;
}
