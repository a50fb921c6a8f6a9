/**
 * Keeps the quarantines of requests that crash replicas in the store, for entry instances that start later or that no datagram reaches.
 * Reads cost no call, because one watch covers all keys; only the entry instances of the first ranks write.
 */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueEntry, KeyValueStore } from "../../contracts/key-value-stores.js";
import type { PartLogger } from "../../links/logs.js";
import type { Quarantine } from "../../serving/crash-attribution.js";
import { createCallOptions } from "../lease-commands.js";

/** Duration of the lease of a quarantine's key, in seconds. */
const leaseSeconds = 90;
/** Age at which a key is written again if requests with its traits came since, in milliseconds. */
const renewalMilliseconds = 45_000;
/** Delay of a write for each rank, in milliseconds: the watch shows the write of an earlier rank before. */
const delayPerRankMilliseconds = 2_000;
/** Random part of the delay of a write, in milliseconds. */
const delaySpreadMilliseconds = 400;

export interface QuarantineKeysOptions {
    readonly prefix: string;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: () => number;
    /** Position of this process in the order in which processes write; 0 is the first. */
    readonly rank: () => number;
    /** Called for each quarantine that the store shows. */
    readonly onQuarantine: (traits: readonly string[]) => void;
    readonly log: PartLogger;
}

interface KnownEntry extends KeyValueEntry {
    /** Local monotonic milliseconds at which this process first saw the value. */
    readonly seenAt: number;
}

export class QuarantineKeys {
    private entries: ReadonlyMap<string, KnownEntry> = new Map();
    /** Local monotonic milliseconds at which this process writes the key unless the watch shows it before. */
    private readonly writesDueAt = new Map<string, number>();

    private constructor(private readonly options: QuarantineKeysOptions) {}

    public static create(options: QuarantineKeysOptions): QuarantineKeys {
        return new QuarantineKeys(options);
    }

    /** Applies all entries that the store has under the prefix. */
    public setEntries(entries: readonly KeyValueEntry[]): void {
        const known = this.entries;
        const now = this.now();
        const added = entries.filter(({ key, modRevision }) => known.get(key)?.modRevision !== modRevision);
        this.entries = new Map(
            entries.map(entry => {
                const previous = known.get(entry.key);
                const isSame = previous?.modRevision === entry.modRevision;
                return [entry.key, isSame ? previous : { ...entry, seenAt: now }];
            }),
        );
        added.forEach(({ key }) =>
            this.options.onQuarantine(key.slice(this.options.prefix.length).split("+")),
        );
    }

    /** Writes the keys that are due; `quarantines`: those that are in force. */
    public tick(quarantines: readonly Quarantine[]): void {
        if (quarantines.length === 0 && this.writesDueAt.size === 0) {
            return;
        }
        const now = this.now();
        const missing = new Set(
            quarantines
                .filter(quarantine => this.needsWrite(quarantine, now))
                .map(({ traits }) => this.keyOf(traits)),
        );
        for (const key of this.writesDueAt.keys()) {
            if (!missing.has(key)) {
                this.writesDueAt.delete(key);
            }
        }
        for (const key of missing) {
            const dueAt = this.writesDueAt.get(key) ?? this.nextWriteAt(now);
            this.writesDueAt.set(key, dueAt);
            if (now >= dueAt) {
                // The watch shows the write later; until then, it counts as missing.
                this.writesDueAt.set(key, this.nextWriteAt(now) + delayPerRankMilliseconds);
                void this.write(key);
            }
        }
    }

    /** Deletes the key of a quarantine that ended because its traits are sound. */
    public remove(traits: readonly string[]): void {
        const key = this.keyOf(traits);
        const entry = this.entries.get(key);
        if (entry !== undefined && this.options.rank() === 0) {
            const options = createCallOptions("other", this.options);
            const swap = { key, expectedRevision: entry.modRevision, value: undefined };
            void this.options.store.compareAndSwap(swap, options).then(outcome => {
                if (outcome.kind === "ambiguous" || outcome.kind === "notSent") {
                    this.logFault("deleting", key, outcome.fault.message);
                }
            });
        }
    }

    /** A quarantine that only the store shows is not written again, or it would never end. */
    private needsWrite({ traits, lastRequestAt }: Quarantine, now: number): boolean {
        if (lastRequestAt === undefined || now - lastRequestAt >= renewalMilliseconds) {
            return false;
        }
        const entry = this.entries.get(this.keyOf(traits));
        return entry === undefined || now - entry.seenAt >= renewalMilliseconds;
    }

    private async write(key: string): Promise<void> {
        const { store } = this.options;
        const expectedRevision = this.entries.get(key)?.modRevision ?? 0;
        const lease = await store.grantLease(leaseSeconds, createCallOptions("other", this.options));
        if (!lease.success) {
            this.logFault("granting a lease for", key, lease.fault.message);
            return;
        }
        const outcome = await store.compareAndSwap(
            { key, expectedRevision, value: "crash", lease: lease.data.id },
            createCallOptions("other", this.options),
        );
        if (outcome.kind === "ambiguous" || outcome.kind === "notSent") {
            this.logFault("writing", key, outcome.fault.message);
        }
    }

    private nextWriteAt(now: number): number {
        const { rank, random } = this.options;
        return now + rank() * delayPerRankMilliseconds + random() * delaySpreadMilliseconds;
    }

    private keyOf(traits: readonly string[]): string {
        return `${this.options.prefix}${traits.join("+")}`;
    }

    private logFault(step: string, key: string, reason: string): void {
        this.options.log.info(`${step} the key of a quarantine failed; trying again later`, { key, reason });
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
