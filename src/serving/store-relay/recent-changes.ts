/**
 * The changes of the last responses of a watch, as one statement of the final state of each changed key. Covers receivers
 * that missed a message or follow another relay: a message overlaps with the ones before it, and applying a final state
 * again does no harm. Large values are compressed, and stated as edits of the version that the receivers have.
 */
import { constants, deflateRawSync } from "node:zlib";
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
/** Maximum size of the compressed values in one message, in bytes; they are sent in base64. */
const maximumCompressedBytes = 32 * 1024;
/** Number of values of which the compact form is kept for the next messages. */
const keptForms = 8;

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

/** All changes after one revision, with large values as edits where that is shorter. */
export interface CompactChanges extends Omit<ChangeRange, "revision"> {
    readonly edited: readonly EditedEntry[];
}

/** What has changed, for any receiver. */
export interface RecentRange extends ChangeRange {
    /** The same from an earlier revision, for receivers that can decode it and know the base of each edit. */
    readonly compact?: CompactChanges | undefined;
}

/** The shortest statement of a value, and its compressed size in bytes. */
interface CompactForm {
    /** Undefined if the value itself is to be stated. */
    readonly edited: EditedEntry | undefined;
    readonly compressedBytes: number;
}

export class RecentChanges {
    private ranges: readonly ChangeRange[] = [];
    private readonly compactForms = new Map<string, CompactForm>();

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
        this.compactForms.clear();
    }

    /** Merges as many of the last responses as one datagram can hold; receivers read the store for what it cannot hold. */
    public newestWithinDatagram(): RecentRange {
        const { revision } = this.ranges.at(-1)!;
        for (let first = 0; first < this.ranges.length; first += 1) {
            const merged = mergeRanges(this.ranges.slice(first));
            if (sumValueBytes(merged.puts) <= maximumValueBytes) {
                return merged;
            }
            const compact = this.compact(merged);
            if (compact !== undefined) {
                return { after: revision, revision, puts: [], deletes: [], compact };
            }
        }
        return { after: revision, revision, puts: [], deletes: [] };
    }

    /** Returns the compact form of changes; undefined if a datagram cannot hold it either. */
    private compact({ after, puts, deletes }: ChangeRange): CompactChanges | undefined {
        const forms = puts.map(put => this.compactForm(put, after));
        const bytes = forms.reduce((sum, { compressedBytes }) => sum + compressedBytes, 0);
        if (bytes > maximumCompressedBytes) {
            return undefined;
        }
        const edited = forms.flatMap(form => form.edited ?? []);
        return {
            after,
            puts: puts.filter((_, index) => forms[index]?.edited === undefined),
            deletes,
            edited,
        };
    }

    private compactForm(entry: KeyValueEntry, after: number): CompactForm {
        const base = this.history.newestAt(entry.key, after);
        const id = `${base?.modRevision} ${entry.modRevision} ${entry.key}`;
        const known = this.compactForms.get(id);
        if (known !== undefined) {
            return known;
        }
        const edited = base && editEntry(base, entry);
        const inserted = edited?.edits.map(edit => edit.inserted).join("");
        const form = { edited, compressedBytes: compress(inserted ?? entry.value).length };
        this.compactForms.set(id, form);
        if (this.compactForms.size > keptForms) {
            this.compactForms.delete(this.compactForms.keys().next().value!);
        }
        return form;
    }
}

/** Describes an entry by edits of an earlier one; undefined if they differ too much. */
function editEntry(base: KeyValueEntry, { value, ...entry }: KeyValueEntry): EditedEntry | undefined {
    const edits = diffValues(base.value, value);
    return edits && { ...entry, baseRevision: base.modRevision, edits, digest: hashValue(value) };
}

/** Returns the entry that edits of a relay describe; undefined if this process does not have its base. */
export function restoreEntry(edited: EditedEntry, history: ValueHistory): KeyValueEntry | undefined {
    const { baseRevision, edits, digest, ...entry } = edited;
    const base = history.find(entry.key, baseRevision);
    const value = base && applyEdits(base.value, edits);
    return value !== undefined && hashValue(value) === digest ? { ...entry, value } : undefined;
}

/** Compresses text as in messages of a relay, in little processor time. */
export function compress(text: string): Buffer {
    return deflateRawSync(text, { level: constants.Z_BEST_SPEED });
}

function hashValue(value: string): string {
    return hashIdentity([], value);
}

function sumValueBytes(puts: readonly KeyValueEntry[]): number {
    return puts.reduce((sum, { value }) => sum + Buffer.byteLength(value), 0);
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
