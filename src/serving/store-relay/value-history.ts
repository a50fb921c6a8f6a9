/** The last versions of the large values in the store that this process has seen, which edits of relays refer to. */
import type { KeyValueEntry } from "../../contracts/key-value-stores.js";

/** Size from which on a value is kept, in characters. */
const minimumValueLength = 2 * 1024;
/** A relay's message covers its last three responses; versions that peers announced may lie between those. */
const keptVersions = 6;
/** Length of all kept versions of one key beyond which the earliest are forgotten, in characters. */
const maximumKeptLength = 4 * 1024 * 1024;
/** Keys with large values beyond which the one that changed first is forgotten. */
const maximumKeys = 4;

export class ValueHistory {
    private era: number | undefined;
    private readonly versionsByKey = new Map<string, readonly KeyValueEntry[]>();

    private constructor() {}

    public static create(): ValueHistory {
        return new ValueHistory();
    }

    /** Records entries of an era of the store; those of earlier eras are forgotten. */
    public record(era: number | undefined, entries: readonly KeyValueEntry[]): void {
        if (era !== this.era) {
            if ((era ?? 0) < (this.era ?? 0)) {
                return;
            }
            this.era = era;
            this.versionsByKey.clear();
        }
        entries.filter(({ value }) => value.length >= minimumValueLength).forEach(entry => this.add(entry));
    }

    /** Returns the value that a key had at a revision, as far as it is known. */
    public newestAt(key: string, revision: number): KeyValueEntry | undefined {
        return this.versionsByKey.get(key)?.findLast(({ modRevision }) => modRevision <= revision);
    }

    /** Returns the version of a key that was written at a revision. */
    public find(key: string, modRevision: number): KeyValueEntry | undefined {
        return this.versionsByKey.get(key)?.find(each => each.modRevision === modRevision);
    }

    private add(entry: KeyValueEntry): void {
        if (this.find(entry.key, entry.modRevision) !== undefined) {
            return;
        }
        const versions = [...(this.versionsByKey.get(entry.key) ?? []), entry];
        versions.sort((left, right) => left.modRevision - right.modRevision);
        while (
            versions.length > 1 &&
            (versions.length > keptVersions || sumLengths(versions) > maximumKeptLength)
        ) {
            versions.shift();
        }
        this.versionsByKey.delete(entry.key);
        this.versionsByKey.set(entry.key, versions);
        if (this.versionsByKey.size > maximumKeys) {
            this.versionsByKey.delete(this.versionsByKey.keys().next().value!);
        }
    }
}

function sumLengths(entries: readonly KeyValueEntry[]): number {
    return entries.reduce((sum, { value }) => sum + value.length, 0);
}
