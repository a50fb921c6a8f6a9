/** Tables of values that are always sent whole: usage counters of processes, and placement values of the store. */
import type { FailureDomainId } from "./failure-domains.js";
import type { MemberId, SentPlacement, SentUsage } from "./mesh-messages.js";

/** Maximum length of a usage payload, in characters. */
export const maximumUsageCharacters = 1_024;
/** Maximum length of a payload of crash evidence, in characters. */
export const maximumCrashEvidenceCharacters = 16_384;
/** Age at which usage of a silent process is removed, in milliseconds. */
export const usageExpiryMilliseconds = 30_000;
/** Maximum number of placement keys. */
export const maximumPlacements = 1_000;

/** Latest known usage counters, or crash evidence, of one process. */
export interface Usage {
    readonly process: MemberId;
    readonly home: FailureDomainId;
    readonly incarnation: number;
    readonly sequence: number;
    readonly payload: string;
    /** Local monotonic milliseconds at which the process published the counters. */
    readonly publishedAt: number;
}

/** One placement value; `text` is undefined if the key was deleted. */
export type PlacementEntry = SentPlacement;

interface VersionedValue<T> {
    readonly value: T;
    readonly changedAt: number;
}

/** Holds the latest usage of each process; a later incarnation replaces an earlier one. */
export class UsageTable {
    private readonly held = new Map<MemberId, VersionedValue<Usage>>();

    private constructor(
        private readonly nextChange: () => number,
        private readonly maximumCharacters: number,
    ) {}

    public static create(
        nextChange: () => number,
        maximumCharacters: number = maximumUsageCharacters,
    ): UsageTable {
        return new UsageTable(nextChange, maximumCharacters);
    }

    public get usages(): readonly Usage[] {
        return [...this.held.values()].map(entry => entry.value);
    }

    public accept(usage: Usage, now: number): boolean {
        const known = this.held.get(usage.process)?.value;
        const isLater =
            known === undefined ||
            usage.incarnation > known.incarnation ||
            (usage.incarnation === known.incarnation && usage.sequence > known.sequence);
        const isOld = now - usage.publishedAt >= usageExpiryMilliseconds;
        if (!isLater || isOld || usage.payload.length > this.maximumCharacters) {
            return false;
        }
        this.held.set(usage.process, { value: usage, changedAt: this.nextChange() });
        return true;
    }

    /** Returns the usages that changed after a change number, without that of the peer itself. */
    public changesSince(
        change: number,
        peer: MemberId,
        now: number,
        select: (usage: Usage) => boolean,
    ): readonly SentUsage[] {
        return [...this.held.values()]
            .filter(entry => entry.changedAt > change && entry.value.process !== peer && select(entry.value))
            .map(({ value: { publishedAt, ...usage } }) => ({
                ...usage,
                ageMilliseconds: Math.max(0, now - publishedAt),
            }));
    }

    /** Removes usage of processes that have been silent for too long; returns whether any was removed. */
    public tick(now: number): boolean {
        const old = this.usages.filter(usage => now - usage.publishedAt >= usageExpiryMilliseconds);
        for (const usage of old) {
            this.held.delete(usage.process);
        }
        return old.length > 0;
    }
}

/** Holds the latest placement values, ordered by the revision of the store alone. */
export class PlacementTable {
    private readonly held = new Map<string, VersionedValue<PlacementEntry>>();
    /** Store revision at which every key that is not held was absent. */
    private floor = 0;

    private constructor(private readonly nextChange: () => number) {}

    public static create(nextChange: () => number): PlacementTable {
        return new PlacementTable(nextChange);
    }

    public get entries(): readonly PlacementEntry[] {
        return [...this.held.values()].map(entry => entry.value);
    }

    /** Applies a snapshot of the whole prefix; keys that are not in the snapshot had been deleted by its revision. */
    public applySnapshot(revision: number, entries: readonly PlacementEntry[]): boolean {
        const present = new Set(entries.map(entry => entry.key));
        const removed = this.entries.filter(
            entry => !present.has(entry.key) && entry.text !== undefined && entry.modRevision < revision,
        );
        const deletions = removed.map(entry => ({ key: entry.key, modRevision: revision, text: undefined }));
        const accepted = [...entries, ...deletions].filter(entry => this.accept(entry));
        this.floor = Math.max(this.floor, revision);
        return accepted.length > 0;
    }

    /** Stores a value if it is later than the known value of its key; returns whether it was stored. */
    public accept(entry: PlacementEntry): boolean {
        const known = this.held.get(entry.key)?.value;
        const knownRevision = known?.modRevision ?? this.floor;
        if (
            entry.modRevision <= knownRevision ||
            (known === undefined && this.held.size >= maximumPlacements)
        ) {
            return false;
        }
        this.held.set(entry.key, { value: entry, changedAt: this.nextChange() });
        return true;
    }

    public changesSince(change: number): readonly PlacementEntry[] {
        return [...this.held.values()].filter(entry => entry.changedAt > change).map(entry => entry.value);
    }
}
