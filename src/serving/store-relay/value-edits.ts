/**
 * Differences between two versions of a large value, such as a configuration with many routes. Covers changes of a few of its
 * parts that pass between processes in one datagram, which could not hold the value.
 */
import { diffArrays } from "diff";

/** Replaces `removed` characters of the earlier version from index `at` with `inserted`. */
export interface ValueEdit {
    readonly at: number;
    readonly removed: number;
    readonly inserted: string;
}

/** Number of inserted and removed parts beyond which two versions count as unrelated, which bounds the time of the search. */
const maximumEditedParts = 100;
/** Values are compared by the objects of JSON that they hold. */
const partBoundary = /(?<=\})/;

/** Returns the edits that make `after` of `before`, in ascending order; undefined if they differ in too many parts. */
export function diffValues(before: string, after: string): readonly ValueEdit[] | undefined {
    const changes = diffArrays(before.split(partBoundary), after.split(partBoundary), {
        maxEditLength: maximumEditedParts,
    });
    if (changes === undefined) {
        return undefined;
    }
    const edits: ValueEdit[] = [];
    let at = 0;
    for (const { added, removed, value } of changes) {
        const text = value.join("");
        if (added) {
            edits.push({ at, removed: 0, inserted: text });
        } else if (removed) {
            edits.push({ at, removed: text.length, inserted: "" });
        }
        at += added ? 0 : text.length;
    }
    return edits;
}

/** Applies edits in ascending order to the version that they refer to. */
export function applyEdits(before: string, edits: readonly ValueEdit[]): string {
    const parts: string[] = [];
    let position = 0;
    for (const { at, removed, inserted } of edits) {
        parts.push(before.slice(position, at), inserted);
        position = at + removed;
    }
    return [...parts, before.slice(position)].join("");
}
