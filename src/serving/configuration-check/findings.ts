/** What a check of a configuration reports. */

export type Severity = "error" | "warning";

/** "unreachable": an entry that no request can match. "contradiction": limits that cannot hold together. */
export type FindingKind = "invalid" | "unreachable" | "contradiction";

export interface Finding {
    readonly severity: Severity;
    readonly kind: FindingKind;
    /** Names from the root to the entry concerned, such as `routes`, the name of a route and a field. */
    readonly path: readonly string[];
    readonly message: string;
}

/** Creates a function that reports findings of one severity and kind. */
export function reporter(
    severity: Severity,
    kind: FindingKind,
): (path: readonly string[], message: string) => Finding {
    return (path, message) => ({ severity, kind, path, message });
}

/** Returns the items that occur again after their first occurrence, by a key. */
export function findRepeated<T>(items: readonly T[], keyOf: (item: T) => string): readonly T[] {
    const seen = new Set<string>();
    return items.filter(item => {
        const isRepeated = seen.has(keyOf(item));
        seen.add(keyOf(item));
        return isRepeated;
    });
}
