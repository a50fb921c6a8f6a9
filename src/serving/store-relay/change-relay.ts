/**
 * Decides which entry instances of a failure domain watch the store, and how the others follow what these read. Covers
 * deployments of many entry instances, whose watches would make up most of the calls to the store: two relays for each
 * failure domain call it and pass each response on. A process that hears of no relay, or of one that has missed changes or
 * knows another era of the store, calls the store itself, so that its state is never older than with a watch of its own. While
 * the store fails the calls of some processes, others are the relays.
 *
 * A relay, or the network, may delay a message by any time, and clocks of different processes cannot be compared. A message
 * therefore names the latest datagram of its receiver that had reached the relay before it called the store: the response
 * holds all changes up to the time at which the receiver sent that datagram, by the receiver's own clock.
 */
import type { KeyValueEntry, StorePosition } from "../../contracts/key-value-stores.js";
import { hashIdentity } from "../../core/identity-hashes.js";
import type { RecentRange } from "./recent-changes.js";
import { RecentChanges, restoreEntry } from "./recent-changes.js";
import { ValueHistory } from "./value-history.js";
import type { ProgressEvent } from "./watch-feed.js";

/** Relays of one failure domain; the second one covers the time until the loss of the first one is noticed. */
const relaysPerDomain = 2;

/** Times of following the store, by the size and the bounds of the deployment, in milliseconds. */
export interface RelayTiming {
    /** False while there are so few entry instances that each one watches the store. */
    readonly isRelayed: boolean;
    /** Pause between two watch calls of a process that does not follow a relay. */
    readonly watchPauseMilliseconds: number;
    /** Maximum wait of one watch call at the store, without relays; with relays, only their calls wait. */
    readonly watchTimeoutMilliseconds: number;
    /** Time between the starts of two calls of a relay, which wait for changes for most of it. */
    readonly relayPauseMilliseconds: number;
    /** Maximum age of the state of a process that follows relays. */
    readonly maximumStateAgeMilliseconds: number;
    /** Silence after which an entry instance counts as lost. */
    readonly peerExpiryMilliseconds: number;
}

/** Changes that one entry instance passes on to those of its failure domain. */
export interface RelayedChanges extends RecentRange {
    readonly era: number | undefined;
    /** Time since the relay last failed to call the store, in milliseconds; undefined if that was long ago. */
    readonly faultAge: number | undefined;
}

/** A datagram of an entry instance that has arrived, by the start of its sender and its number there. */
export interface ReceivedMark {
    readonly incarnation: string;
    readonly sequence: number;
    /** Position up to which the sender knew all changes; undefined if it did not state it. */
    readonly position?: StorePosition | undefined;
}

/** A response of the store as a relay passes it on. */
export interface RelayedResponse {
    readonly changes: RelayedChanges;
    /** The latest datagram of each entry instance that had arrived before the call. */
    readonly marks: ReadonlyMap<string, ReceivedMark>;
}

/** What a process does with relayed changes. "poll": only the store can tell what follows. */
export type RelayedOutcome =
    | { readonly kind: "ignored" }
    | { readonly kind: "poll" }
    | { readonly kind: "event"; readonly event: ProgressEvent };

/** How long ago the state of a process was known to be the store's newest one, in milliseconds. */
export interface StateAge {
    readonly now: number;
    /** Age just before the last confirmation. */
    readonly before: number;
    /** Time since the store last answered this process itself. */
    readonly sinceCall: number;
}

/** Time before the next call of a relay within which marks that answer its message arrive, in milliseconds. */
const markReturnMilliseconds = 50;
/** Pause after a failed call, which doubles with each further one up to the maximum, in milliseconds. */
const retryMilliseconds = 300;
const maximumRetryMilliseconds = 1_200;
/** Age up to which faults are passed on, in milliseconds; longer than registrations count as missing for a fault. */
const announcedFaultMilliseconds = 3_000;

/** Returns the part of relayed changes that a receiver with the given position lacks. */
export function omitKnownChanges(
    changes: RelayedChanges,
    position: StorePosition | undefined,
): RelayedChanges {
    if (
        position === undefined ||
        position.era !== changes.era ||
        position.revision <= firstRevision(changes)
    ) {
        return changes;
    }
    const { compact, ...whole } = changes;
    if (position.revision >= changes.revision) {
        return { ...whole, after: changes.revision, puts: [], deletes: [] };
    }
    const lacks = ({ modRevision }: { readonly modRevision: number }): boolean =>
        modRevision > position.revision;
    const lacking = {
        ...whole,
        after: Math.max(changes.after, position.revision),
        puts: changes.puts.filter(lacks),
    };
    if (compact === undefined) {
        return lacking;
    }
    const { puts, edited } = compact;
    const after = position.revision;
    return {
        ...lacking,
        compact: { ...compact, after, puts: puts.filter(lacks), edited: edited.filter(lacks) },
    };
}

/** Returns the revision after which relayed changes begin, for a receiver that knows the base of each edit. */
export function firstRevision({ after, compact }: RelayedChanges): number {
    return compact?.after ?? after;
}

export interface ChangeRelayOptions {
    /** Name of this entry instance. */
    readonly name: string;
    readonly timing: () => RelayTiming;
}

/** Times are local monotonic milliseconds. */
export class ChangeRelay {
    /** Entry instances of this failure domain that accept relayed changes, and when each was last heard. */
    private readonly heardAt = new Map<string, number>();
    /** Position of each entry instance among the relays, as a hash of its name. */
    private readonly orders = new Map<string, string>();
    private readonly history = ValueHistory.create();
    private readonly recent = RecentChanges.create(this.history);
    /** Those whose latest call to the store failed. */
    private readonly unserved = new Set<string>();
    /** Latest datagram of each entry instance that accepts relayed changes. */
    private readonly marks = new Map<string, ReceivedMark>();
    private latestCall: { readonly startedAt: number; readonly marks: ReadonlyMap<string, ReceivedMark> } = {
        startedAt: Number.NEGATIVE_INFINITY,
        marks: new Map(),
    };
    /** Latest time up to which the present position is known to hold all changes of the store. */
    private confirmedAt = Number.NEGATIVE_INFINITY;
    private ageBefore = 0;
    /** Time of the last response of the store to this process. */
    private respondedAt = Number.NEGATIVE_INFINITY;
    /** Time of the next call of a process that watches the store itself, and the earliest one of the others. */
    private nextPollAt = Number.NEGATIVE_INFINITY;
    private faultAt = Number.NEGATIVE_INFINITY;
    /** Failed calls since the last response. */
    private failures = 0;

    private constructor(private readonly options: ChangeRelayOptions) {}

    public static create(options: ChangeRelayOptions): ChangeRelay {
        return new ChangeRelay(options);
    }

    public stateAge(now: number): StateAge {
        return { now: now - this.confirmedAt, before: this.ageBefore, sinceCall: now - this.respondedAt };
    }

    /** Records an entry instance of the same failure domain that accepts relayed changes. */
    public recordPeer(name: string, mark: ReceivedMark, now: number): void {
        this.heardAt.set(name, now);
        const before = this.marks.get(name);
        const position =
            mark.position ?? (before?.incarnation === mark.incarnation ? before.position : undefined);
        this.marks.set(name, { ...mark, position });
    }

    /** Records whether the store answered the latest call of another entry instance, which is no relay otherwise. */
    public recordServed(name: string, isServed: boolean): void {
        if (isServed) {
            this.unserved.delete(name);
        } else {
            this.unserved.add(name);
        }
    }

    /** False if the latest call of this process to the store failed. */
    public get isServed(): boolean {
        return this.faultAt <= this.respondedAt || this.faultAt === Number.NEGATIVE_INFINITY;
    }

    /** Records entries that this process has read from the store, which edits may refer to. */
    public recordEntries(era: number | undefined, entries: readonly KeyValueEntry[]): void {
        this.history.record(era, entries);
    }

    /** Names of the entry instances to which this process passes changes on; none unless it is a relay. */
    public receivers(now: number): readonly string[] {
        return this.options.timing().isRelayed && this.isRelay(now) ? this.livePeers(now) : [];
    }

    /** Begins a watch at a position whose age is not known, and calls the store at once. */
    public begin(now: number): void {
        this.recent.clear();
        this.confirmedAt = Number.NEGATIVE_INFINITY;
        this.nextPollAt = now;
    }

    /** Records that a call to the store begins; returns for how long it may wait for changes, in milliseconds. */
    public beginCall(now: number): number {
        const { isRelayed, watchTimeoutMilliseconds, relayPauseMilliseconds } = this.options.timing();
        this.latestCall = { startedAt: now, marks: new Map(this.marks) };
        if (!isRelayed) {
            return watchTimeoutMilliseconds;
        }
        // The response proves no more than the start of the call, so one that only confirms the state must not wait.
        return this.isRelay(now) ? Math.max(0, relayPauseMilliseconds - markReturnMilliseconds) : 0;
    }

    /** Returns the time of the next call to the store. */
    public pollDueAt(now: number): number {
        const { isRelayed, maximumStateAgeMilliseconds } = this.options.timing();
        const watchesItself = !isRelayed || this.isRelay(now);
        return watchesItself
            ? this.nextPollAt
            : Math.max(this.nextPollAt, this.confirmedAt + maximumStateAgeMilliseconds);
    }

    /** Records the response to the latest call, which continued from `after`; returns what this process passes on as a relay. */
    public recordResponse(
        after: StorePosition,
        event: ProgressEvent,
        now: number,
    ): RelayedResponse | undefined {
        const { isRelayed, watchPauseMilliseconds, relayPauseMilliseconds } = this.options.timing();
        const { startedAt, marks } = this.latestCall;
        this.confirm(startedAt, now);
        this.respondedAt = now;
        this.failures = 0;
        this.nextPollAt = isRelayed ? startedAt + relayPauseMilliseconds : now + watchPauseMilliseconds;
        this.recordEntries(after.era, event.kind === "changes" ? event.puts : []);
        this.recent.add(after.revision, event);
        if (!isRelayed || !this.isRelay(now)) {
            return undefined;
        }
        const faultAge = now - this.faultAt;
        const changes = {
            ...this.recent.newestWithinDatagram(),
            era: after.era,
            faultAge: faultAge < announcedFaultMilliseconds ? faultAge : undefined,
        };
        return { changes, marks };
    }

    /** Records that a call of this process to the store failed. */
    public recordFault(at: number): void {
        this.faultAt = Math.max(this.faultAt, at);
        const pause = Math.min(maximumRetryMilliseconds, retryMilliseconds * 2 ** this.failures);
        this.failures += 1;
        this.nextPollAt = Math.max(this.nextPollAt, at + pause);
    }

    /**
     * Applies changes from a relay to a watch that knows all changes up to `position`. `knownAt`: a time up to which they hold
     * all changes; undefined if none is proved.
     */
    public apply(
        message: RelayedChanges,
        knownAt: number | undefined,
        position: StorePosition,
        now: number,
    ): RelayedOutcome {
        if (!this.options.timing().isRelayed || this.isRelay(now)) {
            return { kind: "ignored" };
        }
        const changes = this.restore(message, position);
        const isOtherEra = changes.era !== position.era;
        if (isOtherEra || changes.after > position.revision) {
            const isOlder = isOtherEra && (changes.era ?? 0) < (position.era ?? 0);
            // Both relays announce what no datagram can hold; one call covers it.
            return isOlder || now < this.nextPollAt ? { kind: "ignored" } : { kind: "poll" };
        }
        this.confirm(knownAt ?? Number.NEGATIVE_INFINITY, now);
        const { era, revision, deletes } = changes;
        if (revision <= position.revision) {
            return {
                kind: "event",
                event: { kind: "progress", revision: position.revision, isRelayed: true },
            };
        }
        // Messages overlap; parsing known entries again would take processor time for each message of each relay.
        const puts = changes.puts.filter(({ modRevision }) => modRevision > position.revision);
        this.recordEntries(era, puts);
        return { kind: "event", event: { kind: "changes", revision, puts, deletes, isRelayed: true } };
    }

    /** Applies the edits of a message to the values that this process has; returns the message if it lacks one of them. */
    private restore(message: RelayedChanges, position: StorePosition): RelayedChanges {
        const { compact, era, revision } = message;
        const isNeeded = position.era === era && position.revision < revision;
        if (compact === undefined || !isNeeded || position.revision < compact.after) {
            return message;
        }
        const { after, deletes } = compact;
        const edited = compact.edited.filter(({ modRevision }) => modRevision > position.revision);
        const restored = edited.flatMap(entry => restoreEntry(entry, this.history) ?? []);
        return restored.length === edited.length
            ? { ...message, after, deletes, puts: [...compact.puts, ...restored], compact: undefined }
            : message;
    }

    private confirm(at: number, now: number): void {
        this.ageBefore = Math.max(0, now - this.confirmedAt);
        this.confirmedAt = Math.max(this.confirmedAt, at);
    }

    /** True if this process is among the first live entry instances of its failure domain that the store serves. */
    private isRelay(now: number): boolean {
        const own = this.orderOf(this.options.name);
        const served = this.livePeers(now).filter(name => !this.unserved.has(name));
        return this.isServed && served.filter(name => this.orderOf(name) < own).length < relaysPerDomain;
    }

    private orderOf(name: string): string {
        const order = this.orders.get(name) ?? hashIdentity([name]);
        this.orders.set(name, order);
        return order;
    }

    private livePeers(now: number): readonly string[] {
        const { peerExpiryMilliseconds } = this.options.timing();
        return [...this.heardAt]
            .filter(([name, at]) => now - at <= peerExpiryMilliseconds && name !== this.options.name)
            .map(([name]) => name);
    }
}
