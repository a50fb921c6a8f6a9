/** One serving process: connects the callers' port, placement, the store and the peers, driven by one periodic tick. */
import type { Server, ServerResponse } from "node:http";
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { Result } from "../../core/errors.js";
import { StoreEra } from "../../core/store-era.js";
import type { Logs, PartLogger } from "../../links/logs.js";
import { UpstreamPools } from "../../links/upstream-pools.js";
import { defaultColdBounds } from "../../serving/availability/cold-rate.js";
import { BackPressure } from "../../serving/back-pressure.js";
import { CallerPort } from "../../serving/caller-port.js";
import type { RouteTable, ServingConfiguration } from "../../serving/serving-configuration.js";
import type { QuarantineCause } from "../../serving/crash-attribution.js";
import { CrashAttribution } from "../../serving/crash-attribution.js";
import { Dispatcher } from "../../serving/dispatcher.js";
import type { AdmittedRequest, ExchangeContext } from "../../serving/exchange-context.js";
import { Exchange } from "../../serving/exchange.js";
import { noSharing } from "../../serving/fairness/sharing-datagram.js";
import { FairSharing } from "../../serving/fairness/fair-sharing.js";
import type { ParseRegistration } from "../../serving/fleet-follower.js";
import { FleetView } from "../../serving/fleet-view.js";
import { emptyFleet } from "../../serving/fleets.js";
import { decideAdmission } from "../../serving/group-admission.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import type { FleetInstance } from "../../serving/fleets.js";
import { InFlightRequests } from "../../serving/in-flight-requests.js";
import { ConnectionAccount } from "../../serving/memory/connection-account.js";
import { divideMachine } from "../../serving/memory/process-limits.js";
import { ProcessMemory } from "../../serving/memory/process-memory.js";
import type { GroupEngines, LinkResult } from "../../serving/group-orders.js";
import type { LinkState } from "../../serving/replica-reach.js";
import type { Suspicion } from "../../serving/stalled-group-detector.js";
import { StalledGroupDetector } from "../../serving/stalled-group-detector.js";
import { AnnouncedConversions } from "../../serving/placement/announced-conversions.js";
import type { WorkAnnouncement } from "../../serving/placement/arrived-work.js";
import { ArrivedWork } from "../../serving/placement/arrived-work.js";
import type { RunningConversion } from "../../serving/placement/conversion-plan.js";
import { DeploymentWork } from "../../serving/placement/deployment-work.js";
import { ReplicaRecords } from "../../serving/replica-records.js";
import { OutputPredictor } from "../../serving/routing/output-predictor.js";
import { SharedReadPace } from "../../serving/read-pace.js";
import { RetryBudgets } from "../../serving/retry-budgets.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";
import { createServingMetrics } from "../../serving/serving-metrics.js";
import type { ServingSettings } from "../../serving/serving-settings.js";
import { decideShutdownStep } from "../../serving/shutdown-step.js";
import type { WatchFeed } from "../../serving/store-relay/watch-feed.js";
import type { WireFormat } from "../../serving/wire-format.js";
import type { EvacuationEntry } from "./evacuated-domains.js";
import { EvacuatedDomains } from "./evacuated-domains.js";
import { EntryPeers } from "./entry-peers.js";
import type { Peer } from "./serving-follower.js";
import { ServingFollower, formatPeer } from "./serving-follower.js";
import { AnnouncedGroups } from "./announced-groups.js";
import { ForwardPort } from "./forward-port.js";
import { GroupPlacer } from "./group-placer.js";
import { HeldKey } from "./held-key.js";
import { LeavingReports } from "./leaving-reports.js";
import { RelayedWatchFeed } from "./relayed-watch-feed.js";
import { QuarantineKeys } from "./quarantine-keys.js";
import { RequestForwarder } from "./request-forwarding.js";
import { RequestPermits } from "./request-permits.js";
import { PauseDetector } from "./pause-detector.js";
import { TickLoop } from "./tick-loop.js";
import type { AuxiliaryLimits } from "./auxiliary-servers.js";
import { serveMetrics, serveReadiness } from "./auxiliary-servers.js";

/**
 * Duration of the lease with which a process registers itself, in milliseconds; the registered address stays in the
 * store during a restart.
 */
const registrationLeaseMilliseconds = 6_000;
/**
 * Duration of the placement lease, in milliseconds: the holder continues through store outages of some seconds. If the
 * holder is lost for good, placement stops for this time; a holder that restarts takes its lease back immediately.
 */
const placementLeaseMilliseconds = 8_000;
/**
 * Interval between checks of a placement lease that another process holds, in milliseconds; a holder that stops
 * releases the lease.
 */
const placementLeaseCheckIntervalMilliseconds = 1_500;
/** Rank of this process among those that compete for the placement lease of another failure domain. */
const otherDomainRank = 2;

/** Minimum interval at which changes of the links to replicas bring a message to the peers forward, in milliseconds. */
const linkStateIntervalMilliseconds = 500;

/** Time of a watch call beside the pause between two calls, in milliseconds. */
const evacuationReadMilliseconds = 500;

/** Minimum interval at which cold replicas bring a message to the peers forward, in milliseconds. */
const coldReplicasIntervalMilliseconds = 1_000;

/** Connections to one replica that a process may always open. */
const minimumConnections = 4;
/** Fraction of a replica's connections that is shared out; the rest is for entry instances that are not known yet. */
const sharedConnectionFraction = 0.9;

const peerPrefix = "chervil/entries/";
/** Prefix of all keys of placement. */
const allPlacementPrefix = "chervil/placement";
const placementPrefix = `${allPlacementPrefix}/`;
const quarantinePrefix = "chervil/quarantines/";
const settledEraPrefix = `${allPlacementPrefix}-eras/`;

/** Platform-specific parts that an adapter supplies. */
export interface ServingPlatform {
    /** `feed` paces the store's watch; the store records its era with each response. */
    readonly store: (clock: Clock, era: StoreEra, feed: WatchFeed) => KeyValueStore;
    /**
     * `onLeaving` is called for each response of an engine that states that it leaves, `onLinkResult` with what each call
     * shows of the connections to its engine, `onCold` for each response that states for how long its engine stays cold.
     */
    readonly engines: (
        clock: Clock,
        upstreams: UpstreamPools,
        onLeaving: (instance: FleetInstance) => void,
        onLinkResult: (instance: FleetInstance, result: LinkResult) => void,
        onCold: (instance: FleetInstance, coldMilliseconds: number, sentAt: number) => void,
    ) => GroupEngines;
    readonly wire: WireFormat;
    readonly readinessPath: string;
    readonly configurationKey: string;
    readonly parseConfiguration: (text: string) => Result<ServingConfiguration>;
    readonly instancePrefix: string;
    readonly parseRegistration: ParseRegistration;
    /** Prefix of the keys with which operators evacuate failure domains. */
    readonly evacuationPrefix: string;
    readonly parseEvacuation: (key: string, text: string) => EvacuationEntry;
}

export interface ServingProcessOptions {
    readonly settings: ServingSettings;
    readonly platform: ServingPlatform;
    readonly clock: Clock;
    readonly random: () => number;
    /** Identifies this start of the process. */
    readonly incarnation: string;
    /** Proves to this process that the sender of a forwarded request can read its registration. */
    readonly secret: string;
    readonly logs: Logs;
    /** Called once when a stopped process has finished its shutdown. */
    readonly onStopped: () => void;
}

export class ServingProcess {
    private readonly upstreams: UpstreamPools;
    private readonly metrics: ServingMetrics = createServingMetrics();
    private readonly arrivedWork = ArrivedWork.create();
    private readonly deploymentWork = DeploymentWork.create();
    private readonly flights = InFlightRequests.create((group, change) =>
        this.peers.recordLoadChange(group, change),
    );
    private readonly announcedConversions = AnnouncedConversions.create();
    private readonly announcedGroups: AnnouncedGroups;
    private readonly records = ReplicaRecords.create(replica => this.handleReplicaChange(replica));
    private readonly backPressure: BackPressure;
    private readonly permits: RequestPermits;
    private readonly sharing: FairSharing;
    private readonly forwarder: RequestForwarder;
    private readonly forwardPort: ForwardPort;
    private readonly leaving: LeavingReports;
    private readonly evacuated: EvacuatedDomains;
    private readonly retryBudgets: RetryBudgets;
    private readonly readPace: SharedReadPace;
    private readonly memory: ProcessMemory;
    private readonly crashAttribution: CrashAttribution;
    private readonly quarantineKeys: QuarantineKeys;
    /** True if a quarantine has started since the last tick. */
    private hasNewQuarantine = false;
    private readonly exchanges = new Set<Exchange>();
    private readonly suspicions: StalledGroupDetector;
    private readonly era: StoreEra;
    private readonly watchFeed: RelayedWatchFeed;
    private readonly follower: ServingFollower;
    private readonly peers: EntryPeers;
    private readonly registration: HeldKey;
    private readonly placers: GroupPlacer[] = [];
    private readonly callerPort: CallerPort;
    private readonly auxiliaryServers: readonly Server[];
    private readonly context: ExchangeContext;
    private readonly ticks: TickLoop;
    private readonly log: PartLogger;
    private view = FleetView.create(emptyFleet, undefined);
    private stoppingSince: number | undefined;
    /** Local monotonic milliseconds at which the peers were last informed at once of a change of the links. */
    private linkStateSentAt = Number.NEGATIVE_INFINITY;
    /** Local monotonic milliseconds at which the peers were last informed at once of cold replicas. */
    private coldReplicasSentAt = Number.NEGATIVE_INFINITY;
    private isStopped = false;
    private readonly pauseDetector: PauseDetector;

    private constructor(private readonly options: ServingProcessOptions) {
        const { settings, platform, clock, random, logs, incarnation } = options;
        this.log = logs("entry");
        this.pauseDetector = PauseDetector.create(clock.monotonicMilliseconds(), clock.wallMilliseconds());
        this.upstreams = UpstreamPools.create(
            clock,
            replica => this.maximumConnectionsTo(replica),
            replica => this.forwarder.recordConnected(replica),
        );
        this.crashAttribution = CrashAttribution.create({
            random,
            clearanceSpreadMilliseconds: () => this.peers.timing.probeSpreadMilliseconds,
            onQuarantine: (traits, cause) => this.handleQuarantine(traits, cause),
            onQuarantineEnd: (traits, isSound) => this.handleQuarantineEnd(traits, isSound),
            onChange: () => this.informPeers(),
        });
        this.evacuated = EvacuatedDomains.create({
            clock,
            failureDomains: settings.failureDomains,
            parseEntry: platform.parseEvacuation,
            readDelayMilliseconds: () =>
                this.peers.timing.maximumStateAgeMilliseconds + evacuationReadMilliseconds,
            onChange: () => this.handleEvacuations(),
            log: logs("store"),
        });
        this.sharing = FairSharing.create({
            clock,
            random,
            onReturn: (kind, outcome) => this.metrics.returns.inc({ kind, outcome }),
            onRefusal: (reason, rank) => this.metrics.refusals.inc({ reason, rank: String(rank) }),
        });
        this.peers = EntryPeers.create({
            settings,
            clock,
            random,
            incarnation,
            inFlightRequests: this.flights,
            replicaRecords: this.records,
            view: () => this.view,
            suspicions: () => this.suspicions.current,
            onSuspicions: suspicions => this.handlePeerSuspicions(suspicions),
            openedGroups: () => this.openedGroups,
            leaving: () => this.leaving.all,
            configurationVersion: () => this.follower.table?.configuration.version ?? 0,
            onConfigurationVersion: version => this.follower.learnVersion(version),
            onLeaving: (from, leaving) => this.leaving.recordFromPeer(from, leaving),
            crashEvidence: () => this.crashAttribution.announcement(this.now()),
            onCrashEvidence: (from, evidence) => this.crashAttribution.apply(from, evidence, this.now()),
            onOpenedGroups: (from, groups) => this.announcedGroups.apply(from, groups),
            limits: () => ({ isIssuing: this.permits.isIssuing, limits: this.permits.announcement }),
            onLimits: (from, isIssuing, limits) => this.permits.recordPeer(from, isIssuing, limits),
            reach: () => ({
                // Requests that arrived now might not be complete when this process ends.
                reachedCounts: this.stoppingSince === undefined ? this.forwarder.reachedCounts : new Map(),
                unreachableServices: this.forwarder.unreachableServices,
            }),
            onReach: (from, reach) => this.forwarder.recordPeerReach(from, reach),
            coldReplicas: () => this.permits.coldAnnouncement,
            onColdReplicas: coldReplicas => this.permits.recordPeerCold(coldReplicas),
            evacuations: () => this.evacuated.announcement,
            onEvacuations: (from, statement) => this.evacuated.recordFromPeer(from, statement),
            work: () => this.announceWork(),
            onWork: ({ from, incarnation: start, work }, expiresAt) =>
                this.deploymentWork.apply(from, start, work, expiresAt, this.now()),
            sharing: () => (settings.isCapacityContended === true ? this.sharing.announcement() : noSharing),
            onSharing: (from, sharing, expiresAt) => this.sharing.applyPeer(from, sharing, expiresAt),
            conversions: () => this.runningConversions,
            onConversions: (from, conversions, expiresAt) =>
                this.announcedConversions.apply(from, conversions, expiresAt),
            onPermitMessage: (from, message) => this.permits.handleMessage(from, message),
            onReceiver: (peer, mark) => this.watchFeed.recordPeer(peer, mark),
            position: () => this.watchFeed.position,
            isServed: () => this.watchFeed.isServed,
            onServed: (peer, isServed) => this.watchFeed.recordServed(peer, isServed),
            onChanges: (changes, knownAt) => this.watchFeed.handleChanges(changes, knownAt),
            onNewsSent: datagrams => this.metrics.loadNews.inc(datagrams),
            log: logs("peer"),
        });
        this.permits = RequestPermits.create({
            name: settings.name,
            clock,
            peerExpiryMilliseconds: () => this.peers.timing.peerExpiryMilliseconds,
            registeredCount: () => this.peers.shares.count,
            coldStartOf: service => this.follower.table?.findService(service)?.coldStart,
            coldBounds: settings.coldBounds ?? defaultColdBounds,
            onCold: () => this.informOfColdReplicas(),
            isAvailable: () => this.peers.shares.isSettled && this.stoppingSince === undefined,
            send: (peer, message) => this.peers.sendPermitMessage(peer, message),
            onReply: reply => this.metrics.permits.inc({ reply: reply.kind }),
            log: this.log,
        });
        this.announcedGroups = AnnouncedGroups.create({
            name: settings.name,
            clock,
            ownGroups: () => this.openedGroups,
            onChange: () => this.rebuildView(),
            onOwnChange: () => this.informPeers(),
            log: this.log,
        });
        this.readPace = SharedReadPace.create(clock.monotonicMilliseconds());
        const limits = divideMachine(
            settings.machine ?? { memoryMegabytes: undefined, descriptors: undefined },
        );
        this.memory = ProcessMemory.create({
            budgetBytes: limits.messageBytes,
            clock,
            log: logs("caller"),
            metrics: this.metrics,
        });
        this.retryBudgets = RetryBudgets.create(
            settings.retries,
            this.peers.shares,
            clock.monotonicMilliseconds(),
        );
        this.leaving = LeavingReports.create({
            fleet: () => this.view.fleet,
            onChange: () => this.rebuildView(),
            onOwnChange: () => this.informPeers(),
            log: this.log,
        });
        this.backPressure = BackPressure.create(random);
        const engines = platform.engines(
            clock,
            this.upstreams,
            instance => this.leaving.record(instance),
            (instance, result) => this.forwarder.recordLinkResult(instance, result),
            (instance, coldMilliseconds, sentAt) =>
                this.permits.recordCold(instance, coldMilliseconds, sentAt),
        );
        this.forwarder = RequestForwarder.create({
            name: settings.name,
            clock,
            random,
            peerExpiryMilliseconds: () => this.peers.timing.peerExpiryMilliseconds,
            isConnected: instance => this.upstreams.hasIdleConnection(instance),
            instances: () =>
                [...this.view.fleet.instances.values()].filter(each => !this.view.isEvacuated(each)),
            isEvacuated: instance => this.view.isEvacuated(instance),
            probe: (instance, deadline) => engines.probe(instance, deadline),
            onChange: (service, state) => this.handleLinkState(service, state),
            onReachedForPeer: () => this.informPeers(),
            log: this.log,
        });
        this.era = this.createEra(settings.storeAddress, logs("store"));
        this.watchFeed = RelayedWatchFeed.create({
            name: settings.name,
            clock,
            timing: () => this.peers.timing,
            send: (receivers, changes, marks) => this.peers.sendChanges(receivers, changes, marks),
            onFault: fault => this.follower.recordFault(fault),
            onRelayFault: at => this.follower.fleetFollower.recordFault(at),
            onStep: step => this.metrics.watchSteps.inc({ step }),
        });
        const store = platform.store(clock, this.era, this.watchFeed);
        this.suspicions = StalledGroupDetector.create({
            clock,
            view: () => this.view,
            flights: this.flights,
            report: (instance, deadline) => engines.report(instance, deadline),
            probeSpreadMilliseconds: () => this.peers.timing.probeSpreadMilliseconds,
            random,
            areLinksSound: () => this.forwarder.areLinksSound,
            onSuspect: suspicion => this.handleSuspicion(suspicion),
            onCleared: group => this.handleClearedSuspicion(group),
        });
        const dispatcher = Dispatcher.create({
            clock,
            random,
            failureDomain: settings.failureDomain,
            view: () => this.view,
            flights: this.flights,
            suspicions: this.suspicions,
            records: this.records,
            backPressure: this.backPressure,
            limits: this.permits,
            isConnected: instance => this.upstreams.hasIdleConnection(instance),
            isUnreachable: instance => this.forwarder.isUnreachable(instance),
            mostOptions: () => this.peers.timing.maximumGroupOptions,
            preferredGroups: () => this.peers.preferredGroups,
            admit: settings.isCapacityContended === true ? this.sharing.decide : decideAdmission,
        });
        this.context = {
            clock,
            random,
            wire: platform.wire,
            upstreams: this.upstreams,
            dispatcher,
            inFlightRequests: this.flights,
            arrivedWork: this.arrivedWork,
            outputPredictor: OutputPredictor.create(),
            replicaRecords: this.records,
            backPressure: this.backPressure,
            permits: this.permits,
            sharing: this.sharing,
            forwarding: this.forwarder,
            isDoubtful: group => this.suspicions.isSuspect(group) || !this.view.groups.has(group),
            crashAttribution: this.crashAttribution,
            isLeaving: instance => this.leaving.isLeaving(instance),
            isEvacuated: instance => this.view.isEvacuated(instance),
            onLeaving: instance => this.leaving.record(instance),
            readPace: this.readPace,
            retryWindowOf: service => this.retryBudgets.windowOf(service),
            log: logs("caller"),
            metrics: this.metrics,
            isStopping: () => this.stoppingSince !== undefined,
        };
        this.quarantineKeys = QuarantineKeys.create({
            prefix: quarantinePrefix,
            store,
            clock,
            random,
            rank: () => this.peers.placerRank,
            onQuarantine: traits => this.crashAttribution.adopt(traits, undefined, "the store", this.now()),
            log: logs("store"),
        });
        this.follower = this.createFollower(store);
        const hasEnded = (value: string): boolean => isWrittenFromAddress(value, settings.peerAddress);
        this.registration = HeldKey.create({
            key: `${peerPrefix}${settings.name}`,
            holder: formatPeer(
                {
                    address: settings.peerAddress,
                    failureDomain: settings.failureDomain,
                    secret: options.secret,
                },
                incarnation,
            ),
            rank: () => 0,
            leaseDurationMilliseconds: registrationLeaseMilliseconds,
            checkIntervalMilliseconds: registrationLeaseMilliseconds / 3,
            hasEnded,
            store,
            era: this.era,
            clock,
        });
        for (const failureDomain of settings.failureDomains) {
            const isOwn = failureDomain === settings.failureDomain;
            const leaseMilliseconds = Math.max(settings.minimumLeaseMilliseconds, placementLeaseMilliseconds);
            const key = HeldKey.create({
                key: `${placementPrefix}${failureDomain}`,
                holder: `${settings.peerAddress} ${settings.name} ${incarnation}`,
                mayBeFree: () => this.mayBeFree(`${placementPrefix}${failureDomain}`, hasEnded),
                rank: () => (isOwn ? this.peers.placerRank : otherDomainRank),
                leaseDurationMilliseconds: leaseMilliseconds,
                checkIntervalMilliseconds: placementLeaseCheckIntervalMilliseconds,
                hasEnded,
                store,
                era: this.era,
                clock,
            });
            this.placers.push(
                GroupPlacer.create({
                    failureDomain,
                    key,
                    settledEraKey: `${settledEraPrefix}${failureDomain}`,
                    leaseMilliseconds,
                    store,
                    era: this.era,
                    followed: () => this.follower.followedKeys,
                    settings,
                    clock,
                    engines,
                    table: () => this.follower.table,
                    view: () => this.view,
                    isEvacuated: () => this.view.isEvacuated({ failureDomain }),
                    inFlightRequests: this.flights,
                    deploymentWork: this.deploymentWork,
                    runningConversions: () => [
                        ...this.runningConversions,
                        ...this.announcedConversions.current(this.now()),
                    ],
                    onConversion: () => this.informPeers(),
                    log: logs("placer"),
                    metrics: this.metrics,
                }),
            );
        }
        this.callerPort = CallerPort.create({
            address: settings.callerAddress,
            clock,
            random,
            wire: platform.wire,
            readPace: this.readPace,
            memory: this.memory,
            connections: ConnectionAccount.create(limits.callerConnections, () => this.memory.closeStalled()),
            table: () => this.follower.table,
            isStopping: () => this.stoppingSince !== undefined,
            serve: (admitted, response) => this.serve(admitted, response),
            log: logs("caller"),
            metrics: this.metrics,
        });
        this.forwardPort = ForwardPort.create({
            address: settings.peerAddress,
            secret: options.secret,
            clock,
            memory: this.memory,
            readPace: this.readPace,
            connections: ConnectionAccount.create(limits.peerConnections),
            table: () => this.follower.table,
            onRequest: () => this.metrics.forwardedRequests.inc({ direction: "received" }),
            canServe: service => !this.forwarder.isCutOff(service) && !this.callerPort.isClosed,
            serve: (admitted, response) => this.serve(admitted, response),
            log: logs("peer"),
        });
        const auxiliaryLimits = (): AuxiliaryLimits => ({
            memory: this.memory,
            connections: ConnectionAccount.create(limits.auxiliaryConnections),
        });
        this.auxiliaryServers = [
            serveReadiness(
                settings.readinessAddress,
                platform.readinessPath,
                () => this.isReady,
                auxiliaryLimits(),
                this.log,
            ),
            serveMetrics(settings.metricsAddress, this.metrics, auxiliaryLimits(), this.log),
        ];
        this.ticks = TickLoop.create({
            clock,
            onTick: lateMilliseconds => this.tick(lateMilliseconds),
            facts: now => ({
                isBusy: this.stoppingSince !== undefined || this.placers.some(placer => placer.isHolder),
                nextCheckAt: Math.min(this.suspicions.nextCheckAt(now), this.forwarder.nextProbesAt),
                nextMessageAt: this.peers.nextMessageAt,
            }),
        });
        this.log.info("started", { name: settings.name, failureDomain: settings.failureDomain, incarnation });
    }

    public static create(options: ServingProcessOptions): ServingProcess {
        return new ServingProcess(options);
    }

    /**
     * Starts a graceful shutdown: new requests are rejected first, then connections are closed. Requests that are still
     * open when the shutdown time runs out are ended with an error response.
     */
    public stop(): void {
        if (this.stoppingSince !== undefined) {
            return;
        }
        // A signal that is handled late still ends the process in time: its grace period runs from the signal.
        this.stoppingSince = this.ticks.promptSince;
        this.log.info("stopping", {
            openRequests: this.callerPort.openRequestCount,
            handledLateMilliseconds: Math.round(this.now() - this.stoppingSince),
        });
        this.placers.forEach(placer => placer.release("the process stops"));
        this.registration.release();
    }

    /** Applies changed settings; addresses and names change only at the next start. */
    public applySettings(settings: ServingSettings): void {
        this.retryBudgets.applySettings(settings.retries);
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private handleReplicaChange(replica: string): void {
        const service = this.view.fleet.instances.get(replica)?.service;
        const profile = service === undefined ? undefined : this.follower.table?.findService(service);
        if (profile !== undefined && profile.engine === undefined) {
            this.peers.recordReplicaChange(replica);
        }
    }

    private get isReady(): boolean {
        const isKnown = this.follower.table !== undefined && this.follower.fleetFollower.isKnown;
        return isKnown && this.stoppingSince === undefined;
    }

    private get openedGroups(): readonly GroupAnnouncement[] {
        return this.placers.flatMap(placer => placer.openedGroups);
    }

    /** Conversions that this process carries out, for all failure domains whose placement lease it holds. */
    private get runningConversions(): readonly RunningConversion[] {
        return this.placers.flatMap(placer => placer.runningConversions);
    }

    /** Returns this process's share of the connections that a replica accepts from all entry instances. */
    private maximumConnectionsTo(replica: string): number {
        const service = this.view.fleet.instances.get(replica)?.service;
        const profile = service === undefined ? undefined : this.follower.table?.findService(service);
        const share = (profile?.maximumConnections ?? 0) / this.peers.shares.count;
        return Math.max(minimumConnections, Math.floor(share * sharedConnectionFraction));
    }

    /** True if the last known value of a key does not show that another process holds it. */
    private mayBeFree(key: string, hasEnded: (value: string) => boolean): boolean {
        const { position, entryOf } = this.follower.followedKeys;
        const value = entryOf(key)?.value;
        return position === undefined || value === undefined || hasEnded(value);
    }

    private createEra(storeAddress: string, log: PartLogger): StoreEra {
        return StoreEra.create({
            onRise: (era, previous) =>
                log.warn("the store was restored from an older copy; reading and registering again", {
                    peer: storeAddress,
                    era,
                    previous,
                }),
            onInvalid: stated =>
                log.warn("the store states no valid era; continuing with the known one", {
                    peer: storeAddress,
                    stated,
                }),
        });
    }

    private createFollower(store: KeyValueStore): ServingFollower {
        const { platform, clock, random, logs } = this.options;
        return ServingFollower.create({
            store,
            clock,
            random,
            configurationKey: platform.configurationKey,
            parseConfiguration: platform.parseConfiguration,
            instancePrefix: platform.instancePrefix,
            parseRegistration: platform.parseRegistration,
            peerPrefix,
            placementPrefix: allPlacementPrefix,
            quarantinePrefix,
            evacuationPrefix: platform.evacuationPrefix,
            peerReadIntervalMilliseconds: () => this.peers.readIntervalMilliseconds,
            configurationReadDelayMilliseconds: () =>
                this.peers.timing.isRelayed ? this.peers.timing.relayPauseMilliseconds : 0,
            arePeersSettled: () => this.peers.shares.isSettled,
            stateAge: () => this.watchFeed.stateAge,
            onConfiguration: table => this.handleConfiguration(table),
            onFleet: () => this.rebuildView(),
            onPeers: peers => this.handlePeers(peers),
            onQuarantines: entries => this.quarantineKeys.setEntries(entries),
            onEvacuations: (position, entries) => this.evacuated.applyEntries(position, entries),
            log: logs("store"),
            metrics: this.metrics,
        });
    }

    private handleConfiguration(table: RouteTable): void {
        this.callerPort.applyLimits(table.configuration.limits);
        this.rebuildView();
    }

    private handleEvacuations(): void {
        this.metrics.evacuatedFailureDomains.set(this.evacuated.all.size);
        this.rebuildView();
    }

    private rebuildView(): void {
        const fleet = this.leaving.apply(this.follower.fleetFollower.current);
        this.view = FleetView.create(
            fleet,
            this.follower.table,
            this.announcedGroups.all,
            this.evacuated.all,
        );
        const ids = new Set(fleet.instances.keys());
        this.upstreams.keepOnly(ids);
        this.records.retainReplicas(ids);
        this.backPressure.retainReplicas(ids);
        this.permits.retainReplicas(fleet.instances);
        this.permits.retainColdReplicas(new Set([...ids, ...fleet.expired.map(({ id }) => id)]));
        this.permits.applyRegistrations(fleet.instances);
        const probed = [...fleet.instances.values()].filter(each => !this.view.isEvacuated(each));
        this.forwarder.retainReplicas(new Set(probed.map(({ id }) => id)));
        this.flights.retainGroups(new Set(this.view.groups.keys()));
        this.view.countByModel().forEach((count, model) => this.metrics.servableGroups.set({ model }, count));
    }

    private handlePeers(peers: readonly Peer[]): void {
        this.peers.setRegistered(peers);
        this.forwarder.setRegistered(peers);
        this.retryBudgets.applyEntryCount();
    }

    private serve(admitted: AdmittedRequest, response: ServerResponse): void {
        const exchange = Exchange.start(this.context, admitted, response);
        this.exchanges.add(exchange);
        response.once("close", () => this.exchanges.delete(exchange));
    }

    /** Counts the work that arrived at this process as that of a peer, and returns what the peers are told of it. */
    private announceWork(): WorkAnnouncement {
        const { incarnation, settings } = this.options;
        const work = this.arrivedWork.announcement(this.now());
        this.deploymentWork.apply(settings.name, incarnation, work, Number.POSITIVE_INFINITY, this.now());
        return work;
    }

    private handleLinkState(service: string, state: LinkState): void {
        if (state === "cutOff") {
            this.exchanges.forEach(exchange => exchange.handleLostLinks(service));
        } else if (state === "open") {
            this.suspicions.forgetSuspicions();
        }
        if (this.now() - this.linkStateSentAt >= linkStateIntervalMilliseconds) {
            this.linkStateSentAt = this.now();
            this.informPeers();
        }
    }

    private handleSuspicion(suspicion: Suspicion): void {
        this.metrics.suspectedGroups.inc();
        this.log.info("group is suspected to be stalled", {
            ...suspicion,
            fleetRevision: this.view.fleet.revision,
        });
        this.placers.forEach(placer => placer.suspect(suspicion.instances));
        this.informPeers();
        for (const exchange of this.exchanges) {
            if (exchange.group === suspicion.group) {
                exchange.handleSilentGroup();
            }
        }
    }

    private handleClearedSuspicion(group: string): void {
        this.log.info("suspicion cleared: all members of the group respond again", { group });
    }

    private handlePeerSuspicions(suspicions: readonly Suspicion[]): void {
        for (const suspicion of suspicions.filter(({ group }) => !this.suspicions.isSuspect(group))) {
            this.suspicions.handleSuspicion(suspicion);
            this.placers.forEach(placer => placer.suspect(suspicion.instances));
        }
    }

    private handleQuarantine(traits: readonly string[], cause: QuarantineCause): void {
        this.metrics.quarantines.inc();
        this.log.warn("requests with these traits crash replicas; refusing them", {
            traits,
            cause,
        });
        this.hasNewQuarantine = true;
        this.ticks.bringForward();
    }

    private handleQuarantineEnd(traits: readonly string[], isSound: boolean): void {
        this.log.info("quarantine ended", { traits, isSound });
        if (isSound) {
            this.quarantineKeys.remove(traits);
        }
    }

    private tickQuarantines(now: number): void {
        this.crashAttribution.tick(now);
        this.quarantineKeys.tick(this.crashAttribution.current(now));
        if (this.hasNewQuarantine) {
            this.hasNewQuarantine = false;
            this.exchanges.forEach(exchange => exchange.cancelIfQuarantined());
        }
    }

    /** Informs the peers of a replica that has become cold; many that become so together bring one message forward. */
    private informOfColdReplicas(): void {
        if (this.now() - this.coldReplicasSentAt >= coldReplicasIntervalMilliseconds) {
            this.coldReplicasSentAt = this.now();
            this.informPeers();
        }
    }

    /** Sends a change to the peers at the next tick, which follows at once. */
    private informPeers(): void {
        this.peers.sendAtNextTick();
        this.ticks.bringForward();
    }

    private tick(lateMilliseconds: number): void {
        this.metrics.loopDelaySeconds.observe(lateMilliseconds / 1000);
        const now = this.now();
        this.checkPause(now);
        this.follower.tick();
        this.evacuated.tick();
        if (this.stoppingSince === undefined) {
            this.registration.tick();
            this.tickPlacers();
        } else {
            this.tickShutdown(now, this.stoppingSince);
        }
        if (this.isStopped) {
            return;
        }
        this.forwarder.tick();
        this.suspicions.tick();
        this.announcedGroups.tick();
        this.tickQuarantines(now);
        this.permits.tick();
        this.metrics.coldReplicas.set(this.permits.coldCount);
        this.metrics.stateAgeSeconds.set(this.watchFeed.stateAge.now / 1_000);
        this.peers.tick();
    }

    private tickPlacers(): void {
        const { failureDomains, failureDomain } = this.options.settings;
        if (this.forwarder.isAnyCutOff) {
            // Another entry instance can place the groups; this one would take all members for lost.
            const holders = this.placers.filter(placer => placer.isHolder);
            holders.forEach(placer => placer.release("the links to the replicas are lost"));
            return;
        }
        this.placers.forEach((placer, index) => {
            const domain = failureDomains[index]!;
            if (domain === failureDomain || placer.isHolder || this.peers.hasNoEntryInstances(domain)) {
                placer.tick();
            }
        });
    }

    /**
     * Stops relying on the placement leases after a pause, during which they may have expired, and obtains them again.
     */
    private checkPause(now: number): void {
        const pause = this.pauseDetector.check(now, this.options.clock.wallMilliseconds());
        if (pause.isPaused) {
            this.log.warn(
                "process was paused or the wall clock was stepped; obtaining placement leases again",
                {
                    ...pause,
                },
            );
            this.placers.forEach(placer => placer.suspend());
        }
    }

    private tickShutdown(now: number, stoppingSince: number): void {
        const step = decideShutdownStep({
            elapsedMilliseconds: now - stoppingSince,
            gracePeriodMilliseconds: this.options.settings.shutdownMilliseconds,
            isDrained: this.callerPort.isDrained && this.forwardPort.isDrained,
        });
        if (step === "serve") {
            return;
        }
        // The load balancer may continue to send callers when few processes are left; a request accepted now could not
        // finish.
        this.callerPort.close();
        this.forwardPort.close();
        if (step === "finish") {
            return;
        }
        this.exchanges.forEach(exchange => exchange.terminate("this process is about to end"));
        this.callerPort.rejectOpen();
        if (step === "end") {
            return;
        }
        this.ticks.stop();
        this.memory.close();
        this.follower.close();
        this.suspicions.close();
        this.peers.close();
        this.auxiliaryServers.forEach(server => server.close());
        this.isStopped = true;
        this.log.info("stopped", { openRequests: this.callerPort.openRequestCount });
        this.options.onStopped();
    }
}

/**
 * True if a key was written from this process's address, that is by an earlier start. That start has ended, because
 * this process could open the ports that it held.
 */
function isWrittenFromAddress(value: string, address: string): boolean {
    return value.startsWith(`${address} `);
}
