/**
 * Follows the configuration, the instance registrations and the other entry instances in the platform's store. One
 * watch covers all keys because every watch call counts against the store's call limit, whatever it returns.
 */
import type { Clock } from "../../contracts/clocks.js";
import type {
    KeyValueEntry,
    KeyValueStore,
    StoreCallOptions,
    StorePosition,
    WatchEvent,
} from "../../contracts/key-value-stores.js";
import type { FollowerTimes } from "../../core/store-follower.js";
import type { Fault, Result } from "../../core/errors.js";
import type { PartLogger } from "../../links/logs.js";
import type { ServingConfiguration } from "../../serving/serving-configuration.js";
import { RouteTable } from "../../serving/serving-configuration.js";
import type { FleetChange, ParseRegistration } from "../../serving/fleet-follower.js";
import { FleetFollower, storeRecoveryMilliseconds } from "../../serving/fleet-follower.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";
import type { StateAge } from "../../serving/store-relay/change-relay.js";
import { PrefixFollower } from "../prefix-follower.js";

/**
 * Time limits of following the store: a large configuration takes long to arrive on a slow link. Watch calls have their own
 * deadlines; the limit on watch silence is a second safeguard.
 */
const followerTimes = {
    listTimeoutMilliseconds: 2_600,
    responseTimeoutMilliseconds: 600,
    watchSilenceTimeoutMilliseconds: 6_000,
    minimumBackoffMilliseconds: 150,
    maximumBackoffMilliseconds: 1_000,
} as const satisfies FollowerTimes;

/** Minimum interval between reads of the configuration that peers suggest, in milliseconds. */
const configurationReadIntervalMilliseconds = 500;
/** Prefix that matches every key. */
const allKeysPrefix = "";

/** An entry instance as registered in the store. */
export interface Peer {
    readonly name: string;
    /** Address at which the entry instance receives datagrams, as host:port. */
    readonly address: string;
    readonly failureDomain: string;
    /** What a forwarded request must state to the entry instance; undefined if it takes none. */
    readonly secret: string | undefined;
}

/** How a configuration reached this process: a read of all keys, its own watch, a relay, or a version that a peer has. */
type ConfigurationSource = "read" | "watch" | "relay" | "announcement";

/** Formats the value with which an entry instance registers itself; the incarnation distinguishes its starts. */
export function formatPeer(peer: Omit<Peer, "name">, incarnation: string): string {
    return [peer.address, peer.failureDomain, incarnation, peer.secret ?? ""].join(" ").trim();
}

function parsePeer(prefix: string, { key, value }: KeyValueEntry): Peer {
    const name = key.slice(prefix.length);
    const [address = "", failureDomain = "", , secret] = value.split(" ");
    return { name, address, failureDomain, secret };
}

/** Keys of this system as they were last read from the store. */
export interface FollowedKeys {
    /** Position up to which all changes are known; undefined before the first read. */
    readonly position: StorePosition | undefined;
    readonly entryOf: (key: string) => KeyValueEntry | undefined;
}

export interface ServingFollowerOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly configurationKey: string;
    readonly parseConfiguration: (text: string) => Result<ServingConfiguration>;
    readonly instancePrefix: string;
    readonly parseRegistration: ParseRegistration;
    readonly peerPrefix: string;
    /** Prefix of the keys that `followedKeys` covers. */
    readonly placementPrefix: string;
    readonly quarantinePrefix: string;
    readonly evacuationPrefix: string;
    /** Interval between checks of the registered entry instances, in milliseconds. */
    readonly peerReadIntervalMilliseconds: () => number;
    /** Time for which the watch may take to show a version that a peer has, in milliseconds. */
    readonly configurationReadDelayMilliseconds: () => number;
    /** False while each of these checks has to read the store itself because the watch may be behind. */
    readonly arePeersSettled: () => boolean;
    /** Age of the followed state, for the log. */
    readonly stateAge: () => StateAge;
    readonly onConfiguration: (table: RouteTable) => void;
    readonly onFleet: () => void;
    readonly onPeers: (peers: readonly Peer[]) => void;
    /** Called with all entries under `quarantinePrefix` when they may have changed. */
    readonly onQuarantines: (entries: readonly KeyValueEntry[]) => void;
    /** Called with all entries under `evacuationPrefix` at a position of the store, before what else changed there. */
    readonly onEvacuations: (position: StorePosition, entries: readonly KeyValueEntry[]) => void;
    readonly log: PartLogger;
    readonly metrics: ServingMetrics;
}

export class ServingFollower {
    private routes: RouteTable | undefined;
    /** Text of the last configuration that was parsed. */
    private parsedText: string | undefined;
    private readonly fleet: FleetFollower;
    private readonly prefixFollower: PrefixFollower;
    private readonly peers = new Map<string, Peer>();
    /** Keys of peers that a restored store lacks, with the time at which they count as gone. */
    private readonly missingPeers = new Map<string, number>();
    private readonly placementEntries = new Map<string, KeyValueEntry>();
    private readonly quarantineEntries = new Map<string, KeyValueEntry>();
    private readonly evacuationEntries = new Map<string, KeyValueEntry>();
    private position: StorePosition | undefined;
    private nextConfigurationReadAt = 0;
    private isReadingConfiguration = false;
    /** Versions above the one in force that peers have, with the local monotonic milliseconds at which each was learned. */
    private readonly newerVersions = new Map<number, number>();
    private readonly isFailingByPrefix = new Map<string, boolean>();
    private readonly unreadable = new Set<string>();
    private lastPeerReadAt = -Infinity;

    private constructor(private readonly options: ServingFollowerOptions) {
        this.fleet = FleetFollower.create(options.parseRegistration);
        this.prefixFollower = this.startFollowing();
    }

    public static create(options: ServingFollowerOptions): ServingFollower {
        return new ServingFollower(options);
    }

    public get table(): RouteTable | undefined {
        return this.routes;
    }

    public get fleetFollower(): FleetFollower {
        return this.fleet;
    }

    /** Reads the configuration if a peer has a newer version than this process and the watch does not show it soon. */
    public learnVersion(version: number): void {
        const { store, configurationKey } = this.options;
        const now = this.now();
        const known = this.routes?.configuration.version ?? Infinity;
        if (version > known && !this.newerVersions.has(version)) {
            this.newerVersions.set(version, now);
        }
        [...this.newerVersions.keys()]
            .filter(each => each <= known)
            .forEach(each => this.newerVersions.delete(each));
        const learnedAt = Math.min(...this.newerVersions.values());
        const readAt = learnedAt + this.options.configurationReadDelayMilliseconds();
        if (this.isReadingConfiguration || now < Math.max(readAt, this.nextConfigurationReadAt)) {
            return;
        }
        this.isReadingConfiguration = true;
        this.nextConfigurationReadAt = now + configurationReadIntervalMilliseconds;
        const deadlines = readDeadlines(now);
        void store.get(configurationKey, { ...deadlines, priority: "configuration" }).then(response => {
            this.isReadingConfiguration = false;
            if (response.success) {
                this.applyConfiguration(findValue(response.data.entries, configurationKey), "announcement");
            }
        });
    }

    public get followedKeys(): FollowedKeys {
        return { position: this.position, entryOf: key => this.placementEntries.get(key) };
    }

    public tick(): void {
        this.prefixFollower.tick(true, undefined);
        const now = this.now();
        this.dropMissingPeers(now);
        if (now < this.lastPeerReadAt + this.options.peerReadIntervalMilliseconds()) {
            return;
        }
        this.lastPeerReadAt = now;
        if (this.options.arePeersSettled()) {
            this.options.onPeers([...this.peers.values()]);
        } else {
            void this.readPeers();
        }
    }

    /** Records that a call to the store failed after which its watch keeps the position. */
    public recordFault(fault: Fault): void {
        this.recordStoreState(allKeysPrefix, fault);
        this.fleet.recordFault(this.now());
    }

    public close(): void {
        this.prefixFollower.close();
    }

    private startFollowing(): PrefixFollower {
        const { store, clock, random, configurationKey, instancePrefix, peerPrefix } = this.options;
        return PrefixFollower.create({
            prefix: allKeysPrefix,
            priority: "configuration",
            store,
            clock,
            random,
            watching: true,
            times: followerTimes,
            onRead: response => {
                this.recordStoreState(allKeysPrefix, undefined);
                this.evacuationEntries.clear();
                this.changeEvacuations(response, response.entries, []);
                this.applyConfiguration(findValue(response.entries, configurationKey), "read");
                const instances = selectEntries(response.entries, instancePrefix);
                this.applyFleet(this.fleet.applyRead({ ...response, entries: instances }, this.now()));
                const isRestored = this.position !== undefined && this.position.era !== response.era;
                this.replacePeers(selectEntries(response.entries, peerPrefix), isRestored);
                this.placementEntries.clear();
                this.addPlacementEntries(response.entries);
                this.quarantineEntries.clear();
                this.changeQuarantines(response.entries, []);
                this.position = { era: response.era, revision: response.revision };
            },
            onWatch: event => this.applyWatch(event),
            onFault: fault => this.recordFault(fault),
        });
    }

    private applyWatch(event: WatchEvent): void {
        const { configurationKey, instancePrefix, peerPrefix } = this.options;
        if (event.kind !== "gap" && event.isRelayed !== true) {
            this.recordStoreState(allKeysPrefix, undefined);
        }
        if (event.kind !== "gap") {
            const { puts, deletes } = event.kind === "changes" ? event : { puts: [], deletes: [] };
            const position = { era: this.position?.era, revision: event.revision };
            this.changeEvacuations(position, puts, deletes);
        }
        if (event.kind === "changes") {
            const source = event.isRelayed === true ? "relay" : "watch";
            this.applyConfiguration(findValue(event.puts, configurationKey), source);
            event.deletes.forEach(key => this.peers.delete(key));
            this.addPeers(selectEntries(event.puts, peerPrefix));
            event.deletes.forEach(key => this.placementEntries.delete(key));
            this.addPlacementEntries(event.puts);
            this.changeQuarantines(event.puts, event.deletes);
        }
        if (event.kind !== "gap") {
            this.position = { era: this.position?.era, revision: event.revision };
        }
        const before = this.fleet.current;
        const change = this.fleet.applyWatch(selectChanges(event, instancePrefix), this.now());
        // Most events only confirm what is known; each relay sends one with every response of the store.
        if (event.kind !== "progress" || this.fleet.current !== before) {
            this.applyFleet(change);
        }
    }

    private applyFleet({ unreadable }: FleetChange): void {
        this.logUnreadable(unreadable);
        this.options.onFleet();
    }

    /** Stores registered entry instances by their keys. */
    private addPeers(entries: readonly KeyValueEntry[]): void {
        const { peerPrefix } = this.options;
        entries.forEach(entry => {
            this.missingPeers.delete(entry.key);
            this.peers.set(entry.key, parsePeer(peerPrefix, entry));
        });
    }

    /** Replaces the known peers; those that a restored store lacks have some time to register again. */
    private replacePeers(entries: readonly KeyValueEntry[], isRestored: boolean): void {
        const former = [...this.peers.keys()];
        if (isRestored) {
            const goneAt = this.now() + storeRecoveryMilliseconds;
            former.forEach(key => this.missingPeers.set(key, goneAt));
        } else {
            this.peers.clear();
            this.missingPeers.clear();
        }
        this.addPeers(entries);
    }

    private dropMissingPeers(now: number): void {
        for (const [key, goneAt] of this.missingPeers) {
            if (now >= goneAt) {
                this.missingPeers.delete(key);
                this.peers.delete(key);
            }
        }
    }

    private addPlacementEntries(entries: readonly KeyValueEntry[]): void {
        selectEntries(entries, this.options.placementPrefix).forEach(entry =>
            this.placementEntries.set(entry.key, entry),
        );
    }

    private changeQuarantines(puts: readonly KeyValueEntry[], deletes: readonly string[]): void {
        const { quarantinePrefix, onQuarantines } = this.options;
        deletes.forEach(key => this.quarantineEntries.delete(key));
        selectEntries(puts, quarantinePrefix).forEach(entry => this.quarantineEntries.set(entry.key, entry));
        onQuarantines([...this.quarantineEntries.values()]);
    }

    private changeEvacuations(
        { era, revision }: StorePosition,
        puts: readonly KeyValueEntry[],
        deletes: readonly string[],
    ): void {
        const { evacuationPrefix, onEvacuations } = this.options;
        deletes.forEach(key => this.evacuationEntries.delete(key));
        selectEntries(puts, evacuationPrefix).forEach(entry => this.evacuationEntries.set(entry.key, entry));
        onEvacuations({ era, revision }, [...this.evacuationEntries.values()]);
    }

    /**
     * Applies only a version above the current one; after an unreadable configuration the previous one stays in force.
     */
    private applyConfiguration(text: string | undefined, source: ConfigurationSource): void {
        // Several sources may bring the same text, and a large one is slow to parse.
        if (text === undefined || text === this.parsedText) {
            return;
        }
        this.parsedText = text;
        const { log, metrics, stateAge } = this.options;
        const parsed = this.options.parseConfiguration(text);
        const before = this.routes?.configuration.version;
        if (!parsed.success) {
            log.error("configuration cannot be parsed; keeping the version in force", {
                fault: parsed.fault,
                inForce: before,
                source,
            });
            return;
        }
        const { version } = parsed.data;
        if (before !== undefined && version <= before) {
            return;
        }
        this.routes = RouteTable.create(parsed.data);
        metrics.configurationVersion.set(version);
        const { now, before: ageBefore, sinceCall } = stateAge();
        log.info("configuration in force", {
            version,
            before,
            routes: parsed.data.routes.length,
            source,
            ageMilliseconds: Math.round(now),
            ageBeforeMilliseconds: Math.round(ageBefore),
            sinceCallMilliseconds: Math.round(sinceCall),
        });
        this.options.onConfiguration(this.routes);
    }

    private async readPeers(): Promise<void> {
        const { store, peerPrefix, onPeers } = this.options;
        const response = await store.list(peerPrefix, { ...readDeadlines(this.now()), priority: "other" });
        if (!response.success) {
            this.recordStoreState(peerPrefix, response.fault);
            return;
        }
        this.recordStoreState(peerPrefix, undefined);
        onPeers(response.data.entries.map(entry => parsePeer(peerPrefix, entry)));
    }

    /** Counts store faults and logs one line each time the store becomes unreachable or reachable again. */
    private recordStoreState(prefix: string, fault: Fault | undefined): void {
        const { log, metrics } = this.options;
        const isFailing = fault !== undefined;
        if (fault !== undefined) {
            metrics.storeFaults.inc({ code: fault.code });
        }
        if (isFailing !== (this.isFailingByPrefix.get(prefix) ?? false)) {
            this.isFailingByPrefix.set(prefix, isFailing);
            log.info(isFailing ? "store is unreachable" : "store is reachable again", { prefix, fault });
        }
    }

    private logUnreadable(keys: readonly string[]): void {
        for (const key of keys.filter(each => !this.unreadable.has(each))) {
            this.unreadable.add(key);
            this.options.log.warn("registration cannot be parsed", { key });
        }
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}

/** Deadlines of a read that begins at `now`, in local monotonic milliseconds. */
function readDeadlines(now: number): Pick<StoreCallOptions, "deadline" | "responseDeadline"> {
    return {
        deadline: now + followerTimes.listTimeoutMilliseconds,
        responseDeadline: now + followerTimes.responseTimeoutMilliseconds,
    };
}

/** Returns the value of the newest entry with the given key. */
function findValue(entries: readonly KeyValueEntry[], key: string): string | undefined {
    return entries.findLast(entry => entry.key === key)?.value;
}

function selectEntries(entries: readonly KeyValueEntry[], prefix: string): readonly KeyValueEntry[] {
    return entries.filter(entry => entry.key.startsWith(prefix));
}

function selectChanges(event: WatchEvent, prefix: string): WatchEvent {
    if (event.kind !== "changes") {
        return event;
    }
    const puts = selectEntries(event.puts, prefix);
    return { ...event, puts, deletes: event.deletes.filter(key => key.startsWith(prefix)) };
}
