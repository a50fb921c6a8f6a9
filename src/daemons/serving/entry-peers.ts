/** Exchanges loads, suspicions and opened groups with the other registered entry instances by datagrams. */
import type { Clock } from "../../contracts/clocks.js";
import type { StorePosition } from "../../contracts/key-value-stores.js";
import type { PartLogger } from "../../links/logs.js";
import type { ColdAnnouncement } from "../../serving/availability/cold-replicas.js";
import type { EvacuationStatement } from "../../serving/availability/evacuations.js";
import type { CrashEvidence } from "../../serving/crash-attribution.js";
import { EntryShares } from "../../serving/entry-shares.js";
import type { SharingAnnouncement } from "../../serving/fairness/sharing-datagram.js";
import type { FleetTiming } from "../../serving/fleet-timing.js";
import { fleetTimingOf } from "../../serving/fleet-timing.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import type { FleetView } from "../../serving/fleet-view.js";
import type { GroupLoad, InFlightRequests } from "../../serving/in-flight-requests.js";
import type { LeavingInstance } from "../../serving/leaving-instances.js";
import type { Suspicion } from "../../serving/stalled-group-detector.js";
import type { ChangesMessage, LoadNewsMessage, PeerMessage, PermitMessage } from "../../serving/peer-link.js";
import { PeerLink } from "../../serving/peer-link.js";
import type { WorkAnnouncement } from "../../serving/placement/arrived-work.js";
import type { RunningConversion } from "../../serving/placement/conversion-plan.js";
import type { LimitAnnouncement } from "../../serving/rate-limits.js";
import type { ReplicaRecords } from "../../serving/replica-records.js";
import { GroupWindows } from "../../serving/routing/group-windows.js";
import type { LoadChange } from "../../serving/routing/load-news.js";
import { LoadNews } from "../../serving/routing/load-news.js";
import type { ServingSettings } from "../../serving/serving-settings.js";
import type { ReceivedMark, RelayedChanges } from "../../serving/store-relay/change-relay.js";
import type { Peer } from "./serving-follower.js";

/** Random variation of the interval between datagrams, as a fraction of the interval. */
const jitterFraction = 0.5;
/** Interval between reads of the peers' addresses until all peers that started together are known, in milliseconds. */
const initialReadIntervalMilliseconds = 700;
/**
 * Entry instances of a failure domain that check its placement lease at the shortest interval; later ones check less
 * often.
 */
const placersAtFirstRank = 2;
/**
 * Time without entry instances of its own after which other failure domains place a failure domain, in milliseconds;
 * longer than a network partition.
 */
const otherDomainTakeoverMilliseconds = 12_000;

/** Fraction of the other entry instances that must read news for this one to rely on it. */
const minimumReaderFraction = 0.75;

/**
 * Maximum number of entry instances of the own failure domain that are told of requests to plain replicas; with more, the
 * news would cost more than the rejections that it avoids.
 */
const maximumReplicaNewsPeers = 40;

export interface EntryPeersOptions {
    readonly settings: ServingSettings;
    readonly clock: Clock;
    readonly random: () => number;
    readonly incarnation: string;
    readonly inFlightRequests: InFlightRequests;
    readonly replicaRecords: ReplicaRecords;
    readonly view: () => FleetView;
    /** Current suspicions of this process. */
    readonly suspicions: () => readonly Suspicion[];
    readonly onSuspicions: (suspicions: readonly Suspicion[]) => void;
    /** Groups that this process opened recently. */
    readonly openedGroups: () => readonly GroupAnnouncement[];
    readonly onOpenedGroups: (from: string, groups: readonly GroupAnnouncement[]) => void;
    /** Instances that are known to leave. */
    readonly leaving: () => readonly LeavingInstance[];
    readonly onLeaving: (from: string, leaving: readonly LeavingInstance[]) => void;
    /** What this process knows of crashes of replicas. */
    readonly crashEvidence: () => CrashEvidence;
    readonly onCrashEvidence: (from: string, evidence: CrashEvidence) => void;
    /** Version of the configuration in force; 0 if none. */
    readonly configurationVersion: () => number;
    readonly onConfigurationVersion: (version: number) => void;
    /** What this process knows of replicas that limit their requests, and whether it issues permits for them. */
    readonly limits: () => Pick<PeerMessage, "isIssuing" | "limits">;
    readonly onLimits: (from: string, isIssuing: boolean, limits: readonly LimitAnnouncement[]) => void;
    /** Which replicas this process reaches. */
    readonly reach: () => Pick<PeerMessage, "reachedCounts" | "unreachableServices">;
    readonly onReach: (
        from: string,
        reach: Pick<PeerMessage, "reachedCounts" | "unreachableServices">,
    ) => void;
    /** Replicas that this process found to be cold; undefined without any. */
    readonly coldReplicas: () => readonly ColdAnnouncement[] | undefined;
    readonly onColdReplicas: (coldReplicas: readonly ColdAnnouncement[]) => void;
    /** What this process knows of evacuated failure domains. */
    readonly evacuations: () => EvacuationStatement | undefined;
    readonly onEvacuations: (from: string, evacuations: EvacuationStatement | undefined) => void;
    /** Work that arrived at this process. */
    readonly work: () => WorkAnnouncement;
    /** `expiresAt`: local monotonic milliseconds until which the announcement counts. */
    readonly onWork: (message: Pick<PeerMessage, "from" | "incarnation" | "work">, expiresAt: number) => void;
    /** What the peers need to know to share short capacity; `expiresAt` is in local monotonic milliseconds. */
    readonly sharing: () => SharingAnnouncement;
    readonly onSharing: (from: string, sharing: SharingAnnouncement, expiresAt: number) => void;
    /** Conversions of replica groups that this process carries out. */
    readonly conversions: () => readonly RunningConversion[];
    /** `expiresAt`: local monotonic milliseconds until which the announcement counts. */
    readonly onConversions: (
        from: string,
        conversions: readonly RunningConversion[],
        expiresAt: number,
    ) => void;
    readonly onPermitMessage: (from: string, message: PermitMessage) => void;
    /** Called with each datagram of an entry instance of the own failure domain that accepts relayed changes of the store. */
    readonly onReceiver: (name: string, mark: ReceivedMark) => void;
    /** Position up to which this process knows all changes; undefined while it reads the store. */
    readonly position: () => StorePosition | undefined;
    /** True unless the store failed the latest call of this process. */
    readonly isServed: () => boolean;
    /** Called with whether the store answered the latest call of an entry instance of the own failure domain. */
    readonly onServed: (name: string, isServed: boolean) => void;
    /** `knownAt`: local monotonic milliseconds up to which the changes hold all changes; undefined if that is not known. */
    readonly onChanges: (changes: RelayedChanges, knownAt: number | undefined) => void;
    /** Called with the number of datagrams that news of loads took. */
    readonly onNewsSent: (datagrams: number) => void;
    readonly log: PartLogger;
}

interface WindowsOfView {
    readonly view: FleetView;
    readonly windows: GroupWindows;
}

export class EntryPeers {
    /** Entry instances with which this process shares the limits of the replicas. */
    public readonly shares: EntryShares;
    private readonly link: PeerLink;
    private readonly startedAt: number;
    /** Time at which an entry instance of each failure domain was last seen registered, in monotonic milliseconds. */
    private readonly lastRegisteredAtByDomain = new Map<string, number>();
    private registered: readonly Peer[] = [];
    private nextSendAt = 0;
    private sendCount = 0;
    /** True if a suspicion or an opened group has not been sent to the peers yet. */
    private hasUnsentChanges = false;
    private readonly news = LoadNews.create();
    private readonly replicaNews = LoadNews.create();
    private newsTimer: NodeJS.Timeout | undefined;
    /** Names of the entry instances that read news. */
    private readonly newsReaders = new Set<string>();
    private windows: WindowsOfView | undefined;

    private constructor(private readonly options: EntryPeersOptions) {
        const { settings, clock, incarnation, log } = options;
        this.startedAt = clock.monotonicMilliseconds();
        this.shares = EntryShares.create(settings.name);
        this.link = PeerLink.create({
            clock,
            address: settings.peerAddress,
            name: settings.name,
            incarnation,
            linkMegabits: settings.machine?.linkMegabits,
            onMessage: message => this.handle(message),
            onNews: (from, loads) => this.handleNews(from, loads),
            onPermitMessage: (from, message) => this.handlePermitMessage(from, message),
            onMark: (from, mark) => this.handleReceiver(from, mark),
            onChanges: (from, message) => this.handleChanges(from, message),
            log,
        });
    }

    public static create(options: EntryPeersOptions): EntryPeers {
        return new EntryPeers(options);
    }

    public get timing(): FleetTiming {
        return fleetTimingOf(this.registered.length, this.options.settings.bounds);
    }

    /** Local monotonic milliseconds at which the next message to the peers is due. */
    public get nextMessageAt(): number {
        return this.nextSendAt;
    }

    /** Interval between reads of the peers' addresses, in milliseconds. */
    public get readIntervalMilliseconds(): number {
        return this.shares.isSettled
            ? this.timing.peerReadIntervalMilliseconds
            : initialReadIntervalMilliseconds;
    }

    /** Rank of this process among those that compete for the placement lease of its failure domain; 0 is the first. */
    public get placerRank(): number {
        const { name } = this.options.settings;
        const position = this.registered.filter(peer => this.isInOwnDomain(peer) && peer.name < name).length;
        return Math.max(0, position - placersAtFirstRank + 1);
    }

    /** True if a failure domain has had no entry instance for so long that other failure domains place it. */
    public hasNoEntryInstances(failureDomain: string): boolean {
        const lastRegisteredAt = this.lastRegisteredAtByDomain.get(failureDomain) ?? this.startedAt;
        return this.now() - lastRegisteredAt >= otherDomainTakeoverMilliseconds;
    }

    /** Sets the registered entry instances, including this one. */
    public setRegistered(peers: readonly Peer[]): void {
        const now = this.now();
        if (peers.length !== this.registered.length) {
            const before = this.registered.length;
            this.options.log.info("registered entry instances", { count: peers.length, before });
        }
        this.registered = peers;
        this.windows = undefined;
        keepOnly(this.newsReaders, new Set(peers.map(peer => peer.name)));
        const addressesOf = (selected: readonly Peer[]): readonly string[] =>
            selected.map(peer => peer.address);
        const farPeers = peers.filter(peer => !this.isInOwnDomain(peer));
        this.link.setPeers(
            addressesOf(peers.filter(peer => this.isInOwnDomain(peer))),
            addressesOf(farPeers),
        );
        this.shares.recordRegistered(
            peers.map(peer => peer.name),
            now,
        );
        peers.forEach(peer => this.lastRegisteredAtByDomain.set(peer.failureDomain, now));
    }

    /**
     * Sends to all peers, also those of other failure domains, at the next tick because there is a change to announce.
     */
    public sendAtNextTick(): void {
        this.nextSendAt = 0;
        this.hasUnsentChanges = true;
    }

    public tick(): void {
        const now = this.now();
        if (now < this.nextSendAt) {
            return;
        }
        const { peerIntervalMilliseconds: peerMilliseconds, datagramsPerFarDatagram: farEvery } = this.timing;
        // Without the variation, processes that started together would all decide on loads of the same instant.
        this.nextSendAt = now + peerMilliseconds * (1 + jitterFraction * (this.options.random() - 0.5));
        const includesFar = this.hasUnsentChanges || this.sendCount % farEvery === 0;
        this.sendCount += 1;
        this.hasUnsentChanges = false;
        const {
            inFlightRequests: flights,
            suspicions,
            openedGroups,
            leaving,
            crashEvidence,
            configurationVersion,
            limits,
            reach,
            evacuations,
            work,
            sharing,
            conversions,
            coldReplicas,
            isServed,
        } = this.options;
        this.link.send(
            {
                loads: flights.localLoads(),
                suspicions: suspicions(),
                groups: openedGroups(),
                leaving: leaving(),
                crashEvidence: crashEvidence(),
                configurationVersion: configurationVersion(),
                ...limits(),
                ...reach(),
                acceptsChanges: true,
                isServed: isServed(),
                evacuations: evacuations(),
                work: work(),
                sharing: sharing(),
                conversions: conversions(),
                coldReplicas: coldReplicas(),
            },
            includesFar,
        );
    }

    public close(): void {
        clearTimeout(this.newsTimer);
        this.link.close();
    }

    /**
     * Keys of the groups that this entry instance prefers; undefined while it is not known to be registered, and while too
     * few others read news: with late loads, all of them would choose the same group of a window.
     */
    public get preferredGroups(): ReadonlySet<string> | undefined {
        const others = this.registered.length - 1;
        if (!this.exchangesNews || this.newsReaders.size < minimumReaderFraction * others) {
            return undefined;
        }
        return this.currentWindows.groupsOf(this.options.settings.name);
    }

    /** True if the loads of other entry instances would be late, and the deployment calls for news of each change. */
    private get exchangesNews(): boolean {
        return this.options.settings.isCapacityContended === true && !this.timing.areLoadsFresh;
    }

    /** Records that the load of this process at a group has changed. */
    public recordLoadChange(group: string, change: LoadChange): void {
        if (!this.exchangesNews) {
            return;
        }
        this.news.record(group, change, this.now());
        this.scheduleNews();
    }

    /** Records that the number of requests of this process at a plain replica has changed. */
    public recordReplicaChange(replica: string): void {
        if (this.exchangesNews) {
            this.replicaNews.record(replica, "sent", this.now());
            this.scheduleNews();
        }
    }

    private scheduleNews(): void {
        clearTimeout(this.newsTimer);
        const nextAt = Math.min(this.news.nextAt, this.replicaNews.nextAt);
        if (nextAt !== Number.POSITIVE_INFINITY) {
            this.newsTimer = setTimeout(() => this.sendNews(), Math.max(0, nextAt - this.now()));
        }
    }

    private sendNews(): void {
        const now = this.now();
        const { inFlightRequests, replicaRecords } = this.options;
        const loadsByPeer = new Map<string, GroupLoad[]>();
        for (const load of inFlightRequests.localLoadsAt(this.news.take(now))) {
            for (const name of this.currentWindows.entriesOf(load.group)) {
                loadsByPeer.set(name, [...(loadsByPeer.get(name) ?? []), load]);
            }
        }
        const counts = this.replicaNews
            .take(now)
            .map(replica => [replica, replicaRecords.inFlightCountOf(replica)] as const);
        const readers = this.registered.filter(({ name }) => this.newsReaders.has(name));
        const near = readers.filter(peer => this.isInOwnDomain(peer));
        const plainReaders = new Set(near.length <= maximumReplicaNewsPeers ? near : []);
        let datagrams = 0;
        for (const peer of readers) {
            const loads = loadsByPeer.get(peer.name) ?? [];
            const plain = plainReaders.has(peer) ? counts : [];
            if (loads.length > 0 || plain.length > 0) {
                this.link.sendNews(peer.address, { loads, plain });
                datagrams += 1;
            }
        }
        [this.news, this.replicaNews].forEach(news => news.recordDatagrams(datagrams, now));
        this.options.onNewsSent(datagrams);
        this.scheduleNews();
    }

    private handleNews(from: string, { loads, plain }: LoadNewsMessage): void {
        const now = this.now();
        const { inFlightRequests, replicaRecords } = this.options;
        if (loads.length > 0) {
            const expiresAt = now + 2 * this.timing.peerExpiryMilliseconds;
            inFlightRequests.applyPeerNews(from, loads, now, expiresAt);
        }
        plain.forEach(([replica, count]) => replicaRecords.recordPeerCount(from, replica, count, now));
    }

    /** Windows for the present groups and entry instances. */
    private get currentWindows(): GroupWindows {
        const view = this.options.view();
        if (this.windows?.view !== view) {
            const windows = GroupWindows.create(this.registered, view.groups.values());
            this.windows = { view, windows };
        }
        return this.windows.windows;
    }

    private handle(message: PeerMessage): void {
        if (message.readsNews) {
            this.newsReaders.add(message.from);
        } else {
            this.newsReaders.delete(message.from);
        }
        const { from, loads, suspicions, groups, leaving, crashEvidence, configurationVersion } = message;
        this.options.onEvacuations(from, message.evacuations);
        const expiresAt = this.now() + 2 * this.timing.peerExpiryMilliseconds;
        this.options.inFlightRequests.applyPeerLoads(from, loads, expiresAt);
        this.options.onWork(message, expiresAt);
        this.options.onConversions(from, message.conversions, expiresAt);
        this.options.onColdReplicas(message.coldReplicas ?? []);
        this.options.inFlightRequests.applyPeerLoads(
            from,
            loads,
            this.now() + 2 * this.timing.peerExpiryMilliseconds,
        );
        this.options.onSuspicions(suspicions);
        this.options.onOpenedGroups(from, groups);
        this.options.onLeaving(from, leaving);
        this.options.onCrashEvidence(from, crashEvidence);
        this.options.onConfigurationVersion(configurationVersion);
        this.options.onLimits(from, message.isIssuing, message.limits);
        this.options.onReach(from, message);
        this.options.onSharing(
            `${from} ${message.incarnation}`,
            message.sharing,
            this.now() + this.timing.peerExpiryMilliseconds,
        );
        if (message.acceptsChanges) {
            this.handleReceiver(from, { incarnation: message.incarnation, sequence: message.sequence });
        }
        if (this.isNear(from)) {
            this.options.onServed(from, message.isServed);
        }
    }

    private handleReceiver(from: string, { incarnation, sequence, position }: ReceivedMark): void {
        if (this.isNear(from)) {
            this.options.onReceiver(from, { incarnation, sequence, position });
        }
    }

    /** Passes changes of the store on to entry instances of the own failure domain, each with its latest mark. */
    public sendChanges(
        names: readonly string[],
        changes: RelayedChanges,
        marks: ReadonlyMap<string, ReceivedMark>,
    ): void {
        const receivers = this.registered.filter(peer => names.includes(peer.name));
        this.link.sendChanges(
            receivers.map(({ name, address }) => ({ address, mark: marks.get(name) })),
            changes,
        );
    }

    private handleChanges(from: string, { changes, knownAt, readsMarks }: ChangesMessage): void {
        const sender = this.registered.find(peer => peer.name === from && this.isInOwnDomain(peer));
        if (sender === undefined) {
            return;
        }
        this.options.onChanges(changes, knownAt);
        if (readsMarks) {
            this.link.sendMark(sender.address, this.options.position());
        }
    }

    private isNear(name: string): boolean {
        return this.registered.some(peer => peer.name === name && this.isInOwnDomain(peer));
    }

    /** Sends a question for a permit, or a reply, to a registered entry instance. */
    public sendPermitMessage(name: string, message: PermitMessage): void {
        const peer = this.registered.find(each => each.name === name);
        if (peer !== undefined) {
            this.link.sendPermitMessage(peer.address, message);
        }
    }

    private handlePermitMessage(from: string, message: PermitMessage): void {
        if (this.registered.some(peer => peer.name === from)) {
            this.options.onPermitMessage(from, message);
        }
    }

    private isInOwnDomain(peer: Peer): boolean {
        return peer.failureDomain === this.options.settings.failureDomain;
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}

function keepOnly(names: Set<string>, kept: ReadonlySet<string>): void {
    [...names].filter(name => !kept.has(name)).forEach(name => names.delete(name));
}
