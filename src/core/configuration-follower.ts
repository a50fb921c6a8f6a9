/**
 * Follows the operators' configuration. A follower holds the state of the hierarchy at one store revision and moves
 * only to higher revisions, whether from a snapshot, a watch or a peer. A path that is absent at the held revision was
 * absent or deleted by then, so an older value is never restored: the held revision serves as its tombstone.
 */
import type { ReadResponse, WatchEvent } from "../contracts/key-value-stores.js";
import type { ConfigurationRules } from "./configuration-rules.js";
import { configurationRules } from "./configuration-rules.js";
import type {
    ConfigurationChange,
    ConfigurationDeletion,
    ConfigurationDigest,
    ConfigurationEntry,
    ConfigurationRejection,
    ConfigurationUpdate,
} from "./configuration-updates.js";
import type { HeldEntry } from "./configuration-digest.js";
import { computeConfigurationDigest } from "./configuration-digest.js";
import { toConfigurationEntry } from "./configuration-updates.js";
import type { Configuration } from "./configuration-values.js";
import { assembleConfiguration } from "./configuration-values.js";

/** Deletions kept for updates to peers; a peer that is further behind gets the whole configuration. */
const maximumDeletions = 1_024;

const unchangedResult: ConfigurationChange = { changed: false, rejections: [], stale: false };
const staleResult: ConfigurationChange = { changed: false, rejections: [], stale: true };

/** Holds the configuration in force; uses no I/O and no clock. */
export class ConfigurationFollower {
    private revision = 0;
    private readonly entries = new Map<string, HeldEntry>();
    private readonly deletions: ConfigurationDeletion[] = [];
    /** Lowest revision of a peer that a difference can bring up to date. */
    private lowestDifferenceRevision = 0;
    private currentConfiguration: Configuration = assembleConfiguration(0, []);
    private cachedDigest: ConfigurationDigest | undefined;

    private constructor(private readonly rules: ConfigurationRules) {}

    public static create(rules: ConfigurationRules = configurationRules): ConfigurationFollower {
        return new ConfigurationFollower(rules);
    }

    /** Store revision up to which every accepted change is in force; 0 before the first snapshot. */
    public get revisionInForce(): number {
        return this.revision;
    }

    /** The configuration in force; its `revision` is that of the last change of content in this process. */
    public get configuration(): Configuration {
        return this.currentConfiguration;
    }

    /** Invalid values, which are not in force. */
    public get rejections(): readonly ConfigurationRejection[] {
        return [...this.entries.keys()].flatMap(path => this.rejectionOf(path) ?? []);
    }

    /** Revision of the value in force at a path; undefined if there is none. */
    public revisionOf(path: string): number | undefined {
        return this.entries.get(path)?.standing?.modRevision;
    }

    public get digest(): ConfigurationDigest {
        this.cachedDigest ??= computeConfigurationDigest(this.revision, this.entries);
        return this.cachedDigest;
    }

    /** Applies a read of the whole prefix; dropped if it is not later than the held revision or holds older values. */
    public applySnapshot(answer: ReadResponse): ConfigurationChange {
        return this.applyFullState(answer.revision, answer.entries.map(toConfigurationEntry));
    }

    /** Applies changes or progress of a watch that began at or before the held revision. */
    public applyWatch(event: WatchEvent): ConfigurationChange {
        if (event.kind === "gap" || event.revision <= this.revision) {
            return unchangedResult;
        }
        if (event.kind === "progress") {
            this.advance(event.revision);
            return unchangedResult;
        }
        return this.applyDifference({
            from: this.revision,
            revision: event.revision,
            entries: event.puts.map(toConfigurationEntry),
            deletions: event.deletes.map(path => ({ path, revision: event.revision })),
        });
    }

    /** Applies a peer's update; an update that starts after the held revision is dropped, as it would leave a gap. */
    public applyUpdate(update: ConfigurationUpdate): ConfigurationChange {
        const applied = this.applyUpdateEntries(update);
        const adopted = this.adoptStanding(update.entries);
        return adopted ? { ...applied, changed: true } : applied;
    }

    /** Applies a peer's digest: equal entries at a later revision show that nothing has changed up to that revision. */
    public applyDigest(digest: ConfigurationDigest): void {
        if (this.revision > 0 && digest.revision > this.revision && digest.hash === this.digest.hash) {
            this.advance(digest.revision);
        }
    }

    /** Returns the update that a peer with the given digest needs; undefined if there is nothing to send. */
    public updateFor(digest: ConfigurationDigest): ConfigurationUpdate | undefined {
        const own = this.digest;
        if (digest.revision > own.revision || own.revision === 0) {
            return undefined;
        }
        if (digest.hash === own.hash && digest.revision > 0) {
            return digest.standingHash === own.standingHash
                ? undefined
                : this.differenceSince(digest.revision, entry => entry.reason !== undefined);
        }
        if (digest.revision === own.revision) {
            return undefined;
        }
        return digest.revision < Math.max(1, this.lowestDifferenceRevision)
            ? { from: 0, revision: this.revision, entries: this.listEntries(() => true), deletions: [] }
            : this.differenceSince(digest.revision, entry => entry.modRevision > digest.revision);
    }

    /** True if a peer with the given digest holds something that this follower lacks. */
    public isBehind(digest: ConfigurationDigest): boolean {
        const own = this.digest;
        if (digest.revision > own.revision) {
            return own.revision === 0 || digest.hash !== own.hash || digest.standingHash !== own.standingHash;
        }
        return digest.hash === own.hash && digest.standingHash !== own.standingHash;
    }

    private applyUpdateEntries(update: ConfigurationUpdate): ConfigurationChange {
        if (update.revision <= this.revision) {
            return unchangedResult;
        }
        if (update.from === 0) {
            return this.applyFullState(update.revision, update.entries);
        }
        return this.rules.leavesGap(update.from, this.revision) ? staleResult : this.applyDifference(update);
    }

    private applyFullState(revision: number, entries: readonly ConfigurationEntry[]): ConfigurationChange {
        if (this.rules.isOlder(revision, this.revision) || this.holdsOlderValue(entries)) {
            return staleResult;
        }
        if (revision === this.revision) {
            return unchangedResult;
        }
        const present = new Set(entries.map(entry => entry.path));
        const absent = [...this.entries.keys()].filter(path => !present.has(path));
        if (this.revision === 0) {
            this.lowestDifferenceRevision = revision;
        }
        return this.applyDifference({
            from: this.revision,
            revision,
            entries,
            deletions: absent.map(path => ({ path, revision })),
        });
    }

    /** Detects a stale read: one that claims a later revision but holds an older value of a known path. */
    private holdsOlderValue(entries: readonly ConfigurationEntry[]): boolean {
        return entries.some(entry => entry.modRevision < (this.entries.get(entry.path)?.modRevision ?? 0));
    }

    private applyDifference(update: ConfigurationUpdate): ConfigurationChange {
        const later = update.entries.filter(entry =>
            this.rules.isLater(entry.modRevision, this.entries.get(entry.path)?.modRevision, this.revision),
        );
        const put = new Set(update.entries.map(entry => entry.path));
        const deletions = this.rules
            .selectDeletions(update.deletions)
            .filter(deletion => deletion.revision > this.revision && !put.has(deletion.path));
        for (const deletion of deletions) {
            this.remove(deletion);
        }
        const rejections = later.flatMap(entry => this.put(entry) ?? []);
        this.advance(update.revision);
        const changed = later.length > 0 || deletions.length > 0;
        if (changed) {
            this.refresh();
        }
        return { changed, rejections, stale: false };
    }

    private put(entry: ConfigurationEntry): ConfigurationRejection | undefined {
        const parsed = this.rules.parse(entry.path, entry.text);
        const { text, modRevision, createRevision } = entry;
        if (parsed.success) {
            const standing = { text, modRevision, parsed: parsed.data };
            this.entries.set(entry.path, { text, modRevision, createRevision, reason: undefined, standing });
            return undefined;
        }
        const previous = this.entries.get(entry.path)?.standing;
        const standing =
            previous !== undefined && previous.modRevision >= createRevision ? previous : undefined;
        const reason = parsed.fault.message;
        this.entries.set(entry.path, { text, modRevision, createRevision, reason, standing });
        return this.rejectionOf(entry.path);
    }

    private remove(deletion: ConfigurationDeletion): void {
        this.entries.delete(deletion.path);
        this.deletions.push(deletion);
        for (const dropped of this.deletions.splice(
            0,
            Math.max(0, this.deletions.length - maximumDeletions),
        )) {
            this.lowestDifferenceRevision = Math.max(this.lowestDifferenceRevision, dropped.revision);
        }
    }

    private adoptStanding(offered: readonly ConfigurationEntry[]): boolean {
        let adopted = false;
        for (const entry of offered) {
            adopted = this.adoptStandingOf(entry) || adopted;
        }
        if (adopted) {
            this.refresh();
        }
        return adopted;
    }

    /** Takes the last valid value of a path from a peer if this process never saw that value. */
    private adoptStandingOf(entry: ConfigurationEntry): boolean {
        const held = this.entries.get(entry.path);
        const offered = entry.standing;
        if (held?.reason === undefined || offered === undefined || held.modRevision !== entry.modRevision) {
            return false;
        }
        const floor = Math.max(held.createRevision, (held.standing?.modRevision ?? 0) + 1);
        const parsed = this.rules.parse(entry.path, offered.text);
        if (offered.modRevision < floor || offered.modRevision >= held.modRevision || !parsed.success) {
            return false;
        }
        const standing = { text: offered.text, modRevision: offered.modRevision, parsed: parsed.data };
        this.entries.set(entry.path, { ...held, standing });
        return true;
    }

    private advance(revision: number): void {
        this.revision = Math.max(this.revision, revision);
        this.cachedDigest = this.cachedDigest && { ...this.cachedDigest, revision: this.revision };
    }

    private refresh(): void {
        this.cachedDigest = undefined;
        const values = [...this.entries.values()].flatMap(entry => entry.standing?.parsed ?? []);
        this.currentConfiguration = assembleConfiguration(this.revision, values);
    }

    private differenceSince(from: number, select: (entry: HeldEntry) => boolean): ConfigurationUpdate {
        const deletions = this.deletions.filter(deletion => deletion.revision > from);
        return { from, revision: this.revision, entries: this.listEntries(select), deletions };
    }

    private listEntries(select: (entry: HeldEntry) => boolean): readonly ConfigurationEntry[] {
        return [...this.entries]
            .filter(([, entry]) => select(entry))
            .map(([path, { text, modRevision, createRevision, reason, standing }]) => ({
                path,
                text,
                modRevision,
                createRevision,
                standing:
                    reason !== undefined && standing !== undefined
                        ? { text: standing.text, modRevision: standing.modRevision }
                        : undefined,
            }));
    }

    private rejectionOf(path: string): ConfigurationRejection | undefined {
        const held = this.entries.get(path);
        if (held?.reason === undefined) {
            return undefined;
        }
        const { modRevision: revision, reason, standing } = held;
        return { path, revision, reason, standingRevision: standing?.modRevision };
    }
}
