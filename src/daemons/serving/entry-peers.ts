/** The other entry instances: who is registered, what they tell by datagrams, and how often they are told. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLog } from "../../links/logs.js";
import { EntryShares } from "../../serving/entry-shares.js";
import type { FleetPace } from "../../serving/fleet-paces.js";
import { paceOf } from "../../serving/fleet-paces.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import type { GroupFlights } from "../../serving/group-flights.js";
import type { Suspicion } from "../../serving/group-suspicions.js";
import type { PeerMessage } from "../../serving/peer-links.js";
import { PeerLink } from "../../serving/peer-links.js";
import type { ServingSettings } from "../../serving/settings.js";
import type { Peer } from "./followers.js";

/** Part of the time between two datagrams by which it varies. */
const jitterPart = 0.5;
/** Time between two reads of the addresses until those that started together are known, in milliseconds. */
const firstReadMilliseconds = 700;
/** Entry instances of a failure domain that look for its placement lease as often as its life allows. */
const eagerPlacers = 2;
/** Time without own entry instances after which others place a failure domain, in milliseconds; longer than a cut. */
const foreignTakeoverMilliseconds = 12_000;

export interface EntryPeersOptions {
    readonly settings: ServingSettings;
    readonly clock: Clock;
    readonly random: () => number;
    readonly incarnation: string;
    readonly flights: GroupFlights;
    /** This process's present suspicions. */
    readonly suspicions: () => readonly Suspicion[];
    readonly onSuspicions: (suspicions: readonly Suspicion[]) => void;
    /** Groups that this process opened lately. */
    readonly openedGroups: () => readonly GroupAnnouncement[];
    readonly onOpenedGroups: (from: string, groups: readonly GroupAnnouncement[]) => void;
    readonly log: PartLog;
}

export class EntryPeers {
    /** With whom this process shares what replicas allow. */
    public readonly shares: EntryShares;
    private readonly link: PeerLink;
    private readonly startedAt: number;
    /** When entry instances of each failure domain were last registered. */
    private readonly mannedAt = new Map<string, number>();
    private registered: readonly Peer[] = [];
    private nextTellAt = 0;
    private sentDatagrams = 0;
    /** True if a suspicion or an opened group has not been told yet. */
    private hasNews = false;

    private constructor(private readonly options: EntryPeersOptions) {
        const { settings, clock, incarnation, log } = options;
        this.startedAt = clock.monotonicMilliseconds();
        this.shares = EntryShares.create(settings.name);
        this.link = PeerLink.create({
            address: settings.peerAddress,
            name: settings.name,
            incarnation,
            onMessage: message => this.handle(message),
            log,
        });
    }

    public static create(options: EntryPeersOptions): EntryPeers {
        return new EntryPeers(options);
    }

    public get pace(): FleetPace {
        return paceOf(this.registered.length, this.options.settings.bounds);
    }

    /** Time between two reads of the addresses, in milliseconds. */
    public get readMilliseconds(): number {
        return this.shares.isSettled ? this.pace.peerReadMilliseconds : firstReadMilliseconds;
    }

    /** Place of this process among those that look for the placement lease of its failure domain. */
    public get placerRank(): number {
        const { name } = this.options.settings;
        const place = this.registered.filter(peer => this.isNear(peer) && peer.name < name).length;
        return Math.max(0, place - eagerPlacers + 1);
    }

    /** True if a failure domain has had no entry instance for so long that others place it. */
    public isUnmanned(failureDomain: string): boolean {
        const mannedAt = this.mannedAt.get(failureDomain) ?? this.startedAt;
        return this.now() - mannedAt >= foreignTakeoverMilliseconds;
    }

    /** Takes the registered entry instances, this one included. */
    public setRegistered(peers: readonly Peer[]): void {
        const now = this.now();
        if (peers.length !== this.registered.length) {
            const before = this.registered.length;
            this.options.log.info("registered entry instances", { count: peers.length, before });
        }
        this.registered = peers;
        const addressesOf = (some: readonly Peer[]): readonly string[] => some.map(peer => peer.address);
        const far = peers.filter(peer => !this.isNear(peer));
        this.link.setPeers(addressesOf(peers.filter(peer => this.isNear(peer))), addressesOf(far));
        this.shares.noteRegistered(
            peers.map(peer => peer.name),
            now,
        );
        peers.forEach(peer => this.mannedAt.set(peer.failureDomain, now));
    }

    /** Has the others told of news at the next tick, wherever they are. */
    public hasten(): void {
        this.nextTellAt = 0;
        this.hasNews = true;
    }

    public tick(): void {
        const now = this.now();
        if (now < this.nextTellAt) {
            return;
        }
        const { peerMilliseconds, farEvery } = this.pace;
        // Processes that started together must not all look at the same moment's loads.
        this.nextTellAt = now + peerMilliseconds * (1 + jitterPart * (this.options.random() - 0.5));
        const alsoFar = this.hasNews || this.sentDatagrams % farEvery === 0;
        this.sentDatagrams += 1;
        this.hasNews = false;
        const { flights, suspicions, openedGroups } = this.options;
        const groups = openedGroups();
        this.link.send({ loads: flights.ownLoads(), suspicions: suspicions(), groups }, alsoFar);
    }

    public close(): void {
        this.link.close();
    }

    private handle({ from, loads, suspicions, groups }: PeerMessage): void {
        this.options.flights.applyPeer(from, loads, this.now() + 2 * this.pace.heardMilliseconds);
        this.options.onSuspicions(suspicions);
        this.options.onOpenedGroups(from, groups);
    }

    private isNear(peer: Peer): boolean {
        return peer.failureDomain === this.options.settings.failureDomain;
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
