/**
 * The changes of the last responses of a watch, as one statement of the final state of each changed key. Covers receivers
 * that missed a message or follow another relay: a message overlaps with the ones before it, and applying a final state
 * again does no harm. Large values are stated as edits of the version that the receivers have.
 */
import type { KeyValueEntry } from "../../contracts/key-value-stores.js";
import { hashIdentity } from "../../core/identity-hashes.js";
import type { ValueEdit } from "./value-edits.js";
import { applyEdits, diffValues } from "./value-edits.js";
import type { ValueHistory } from "./value-history.js";
import type { ProgressEvent } from "./watch-feed.js";

/** Number of responses that one message covers. */
const coveredResponses = 3;
/** Maximum size of the values in one message, in bytes; a datagram of 64 KB also holds keys and escapes. */
const maximumValueBytes = 24 * 1024;
/** Size of an edit in a datagram beside the inserted text, in bytes. */
const editOverheadBytes = 24;
/** Number of comparisons of two versions that are kept for the next messages. */
const keptComparisons = 8;

/** All changes after one revision of the store up to another one. */
export interface ChangeRange {
    readonly after: number;
    readonly revision: number;
    readonly puts: readonly KeyValueEntry[];
    readonly deletes: readonly string[];
}

/** A value as edits of the version of `baseRevision`. */
export interface EditedEntry extends Omit<KeyValueEntry, "value"> {
    readonly baseRevision: number;
    readonly edits: readonly ValueEdit[];
    /** Hash of the whole value. */
    readonly digest: string;
}

/** All changes after one revision, with large values as edits. */
export interface EditedChanges extends Omit<ChangeRange, "revision"> {
    readonly edited: readonly EditedEntry[];
}

/** The same changes twice: for any receiver, and for those that know the base of each edit, which may begin earlier. */
export interface RecentRange extends ChangeRange {
    readonly byEdits?: EditedChanges | undefined;
}

export class RecentChanges {
    private ranges: readonly ChangeRange[] = [];
    /** Results of comparing two versions of a value; undefined if they differ too much. */
    private readonly comparisons = new Map<string, EditedEntry | undefined>();

    private constructor(private readonly history: ValueHistory) {}

    /** `history`: the versions of large values, which hold those of each response before it is added. */
    public static create(history: ValueHistory): RecentChanges {
        return new RecentChanges(history);
    }

    /** Adds a response to a call that continued from `after`. */
    public add(after: number, event: ProgressEvent): void {
        const { puts, deletes } = event.kind === "changes" ? event : { puts: [], deletes: [] };
        const range = { after, revision: Math.max(after, event.revision), puts, deletes };
        const isContiguous = this.ranges.at(-1)?.revision === after;
        this.ranges = [...(isContiguous ? this.ranges : []), range].slice(-coveredResponses);
    }

    public clear(): void {
        this.ranges = [];
        this.comparisons.clear();
    }

    /** Merges as many of the last responses as one datagram can hold; receivers read the store for what it cannot hold. */
    public newestWithinDatagram(): RecentRange {
        const { revision } = this.ranges.at(-1)!;
        for (let first = 0; first < this.ranges.length; first += 1) {
            const merged = mergeRanges(this.ranges.slice(first));
            if (sumValueBytes(merged.puts) <= maximumValueBytes) {
                return merged;
            }
            const byEdits = this.edit(merged);
            if (byEdits !== undefined) {
                return { after: revision, revision, puts: [], deletes: [], byEdits };
            }
        }
        return { after: revision, revision, puts: [], deletes: [] };
    }

    /** Replaces values with edits of those before the range; undefined if a datagram cannot hold the result either. */
    private edit({ after, puts, deletes }: ChangeRange): EditedChanges | undefined {
        const edited = puts.flatMap(put => this.compare(put, after) ?? []);
        const whole = puts.filter(put => edited.every(({ key }) => key !== put.key));
        const bytes = sumValueBytes(whole) + sumEditBytes(edited.flatMap(({ edits }) => edits));
        return bytes <= maximumValueBytes ? { after, puts: whole, deletes, edited } : undefined;
    }

    private compare(entry: KeyValueEntry, after: number): EditedEntry | undefined {
        const { key, value, modRevision, createRevision } = entry;
        const base = this.history.newestAt(key, after);
        if (base === undefined) {
            return undefined;
        }
        const comparison = `${base.modRevision} ${modRevision} ${key}`;
        if (!this.comparisons.has(comparison)) {
            const edits = diffValues(base.value, value);
            const { modRevision: baseRevision } = base;
            const edited = edits && { key, modRevision, baseRevision, edits, digest: hashValue(value) };
            this.comparisons.set(
                comparison,
                edited && (createRevision === undefined ? edited : { ...edited, createRevision }),
            );
            if (this.comparisons.size > keptComparisons) {
                this.comparisons.delete(this.comparisons.keys().next().value!);
            }
        }
        return this.comparisons.get(comparison);
    }
}

/** Returns the entry that edits of a relay describe; undefined if this process does not have its base. */
export function restoreEntry(edited: EditedEntry, history: ValueHistory): KeyValueEntry | undefined {
    const { key, modRevision, createRevision, baseRevision, edits, digest } = edited;
    const base = history.find(key, baseRevision);
    const value = base && applyEdits(base.value, edits);
    return value !== undefined && hashValue(value) === digest
        ? { key, value, modRevision, ...(createRevision === undefined ? {} : { createRevision }) }
        : undefined;
}

function hashValue(value: string): string {
    return hashIdentity([], value);
}

function sumValueBytes(puts: readonly KeyValueEntry[]): number {
    return puts.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
}

function sumEditBytes(edits: readonly ValueEdit[]): number {
    return edits.reduce((sum, { inserted }) => sum + Buffer.byteLength(inserted) + editOverheadBytes, 0);
}

/** Merges contiguous ranges; the last change of each key counts. */
function mergeRanges(ranges: readonly ChangeRange[]): ChangeRange {
    const finalEntries = new Map<string, KeyValueEntry | undefined>();
    for (const { puts, deletes } of ranges) {
        deletes.forEach(key => finalEntries.set(key, undefined));
        puts.forEach(entry => finalEntries.set(entry.key, entry));
    }
    return {
        after: ranges[0]!.after,
        revision: ranges.at(-1)!.revision,
        puts: [...finalEntries.values()].filter(entry => entry !== undefined),
        deletes: [...finalEntries].flatMap(([key, entry]) => (entry === undefined ? [key] : [])),
    };
}
