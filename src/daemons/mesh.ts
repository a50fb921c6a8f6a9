/**
 * The mesh of daemons propagates members, endpoint health, configuration, placement values and usage by gossip
 * exchanges with a few peers. Entry and placer daemons each start one; all decisions are made by MeshState.
 */
import { BehaviorSubject, Subject, interval } from "rxjs";
import type { Subscription } from "rxjs";
import type { ConfigurationRejection } from "../core/configuration-updates.js";
import type { Configuration } from "../core/configuration-values.js";
import type { Fault } from "../core/errors.js";
import { ChervilError } from "../core/errors.js";
import { hashNumber } from "../core/hashes.js";
import type { ExchangeEffects } from "../core/mesh-exchange.js";
import { MeshState } from "../core/mesh-state.js";
import type { MeshTick } from "../core/mesh-state-options.js";
import type { PeerExchange } from "../core/mesh-messages.js";
import { exchangeTimeoutMilliseconds, roundIntervalMilliseconds } from "../core/exchange-rounds.js";
import type { PlacementEntry, Usage } from "../core/mesh-values.js";
import type { GossipTransport } from "../links/gossip-transport.js";
import { startGossipTransport } from "../links/gossip-transport.js";
import type { Mesh, MeshOptions, MeshStatus } from "./mesh-options.js";
import { MeshProbes } from "./mesh-probes.js";
import { MeshStore } from "./mesh-store.js";

/** Interval between ticks, in milliseconds. */
const tickIntervalMilliseconds = 250;
/** Maximum number of peers that a leaving process notifies directly. */
const maximumLeaveNotifications = 4;

class RunningMesh {
    private readonly configurationSubject: BehaviorSubject<Configuration>;
    private readonly healthSubject = new Subject<void>();
    private readonly usageSubject = new BehaviorSubject<readonly Usage[]>([]);
    private readonly crashEvidenceSubject = new BehaviorSubject<readonly Usage[]>([]);
    private readonly placementSubject = new BehaviorSubject<readonly PlacementEntry[]>([]);
    private readonly subscriptions: Subscription[] = [];
    private readonly probes: MeshProbes;
    private readonly stores: MeshStore;
    private nextRoundAt: number;
    private hasLeft = false;

    public constructor(
        private readonly options: MeshOptions,
        private readonly state: MeshState,
        private readonly id: string,
        private readonly link: GossipTransport,
    ) {
        const { clock, recordEvent, settings } = options;
        this.configurationSubject = new BehaviorSubject(state.configuration.configuration);
        this.nextRoundAt = this.now() + (hashNumber(id) % roundIntervalMilliseconds);
        this.probes = MeshProbes.create({
            state,
            probe: options.probe,
            clock,
            recordEvent,
            view: now => ({
                self: id,
                failureDomain: settings.failureDomain,
                instances: state.instances,
                liveIn: domain => state.liveIn(domain, now),
                liveAnywhere: () => state.substituteProbers(now),
                health: instance => state.health(instance),
                healthMilliseconds: state.configuration.configuration.placement.healthMilliseconds,
            }),
            onChange: () => this.healthSubject.next(),
        });
        this.stores = MeshStore.create({
            state,
            store: options.store,
            clock,
            random: options.random,
            onConfiguration: rejections => this.publishConfiguration(rejections),
            onPlacements: () => this.placementSubject.next(state.placements),
            onFault: fault => this.recordFault(fault),
        });
    }

    public start(): void {
        this.subscriptions.push(
            this.options.instances.subscribe(instances => {
                this.state.setInstances(instances, this.now());
                this.healthSubject.next();
            }),
            (this.options.ticks ?? interval(tickIntervalMilliseconds)).subscribe(() => this.tick()),
        );
        this.tick();
    }

    /** Responds to an exchange that a peer started. */
    public respond(request: PeerExchange): PeerExchange {
        const { answer: response, absorbed: effects } = this.state.answer(request, this.now());
        this.publishEffects(effects);
        return response;
    }

    public get mesh(): Mesh {
        const { state } = this;
        return {
            configuration: this.configurationSubject.asObservable(),
            currentConfiguration: () => state.configuration.configuration,
            isReady: () => state.isReady(this.now()),
            health: instance => state.health(instance),
            healthChanges: this.healthSubject.asObservable(),
            instances: () => state.instances,
            isLeaving: instance => state.isLeaving(instance),
            expediteProbe: instance => this.probes.expedite(instance),
            members: () => state.members(this.now()),
            publishUsage: payload => state.publishUsage(payload, this.now()),
            usages: this.usageSubject.asObservable(),
            publishCrashEvidence: payload => state.publishCrashEvidence(payload, this.now()),
            crashEvidence: this.crashEvidenceSubject.asObservable(),
            placements: this.placementSubject.asObservable(),
            observePlacement: entry => this.observePlacement(entry),
            peerBytes: this.link.bytes,
            startLeaving: () => state.declareLeaving(this.now()),
            leave: () => this.leave(),
            status: () => this.status(),
            address: this.link.address,
        };
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private tick(): void {
        const now = this.now();
        this.state.detectPause(now);
        if (now >= this.nextRoundAt) {
            this.nextRoundAt = now + roundIntervalMilliseconds;
            this.applyTick(this.state.tick(now));
        }
        this.stores.tick(now);
        this.probes.tick();
    }

    private applyTick(tick: MeshTick): void {
        if (tick.pausedMilliseconds !== undefined) {
            this.options.recordEvent({
                kind: "lateTick",
                gapMilliseconds: Math.round(tick.pausedMilliseconds),
            });
            this.healthSubject.next();
        }
        for (const { member, state } of tick.memberChanges) {
            this.options.recordEvent({ kind: "memberChanged", instance: member, state });
        }
        for (const { address, request } of tick.exchanges) {
            void this.exchange(address, request);
        }
    }

    private async exchange(address: string, request: PeerExchange): Promise<void> {
        const response = await this.link.exchange(address, request, this.now() + exchangeTimeoutMilliseconds);
        if (!response.success) {
            this.state.failExchange(address, this.now());
            return;
        }
        this.publishEffects(this.state.finishExchange(address, request, response.data, this.now()));
    }

    private publishEffects(effects: ExchangeEffects): void {
        if (effects.configuration !== undefined) {
            this.publishConfiguration(effects.configuration.rejections);
        }
        if (effects.endpointsChanged) {
            this.healthSubject.next();
        }
        if (effects.usagesChanged) {
            this.usageSubject.next(this.state.usages);
        }
        if (effects.crashEvidenceChanged) {
            this.crashEvidenceSubject.next(this.state.crashEvidence);
        }
        if (effects.placementsChanged) {
            this.placementSubject.next(this.state.placements);
        }
    }

    private publishConfiguration(rejections: readonly ConfigurationRejection[]): void {
        for (const { path, reason } of rejections) {
            this.options.recordEvent({ kind: "configurationRejected", path, reason });
        }
        const { configuration } = this.state.configuration;
        if (configuration !== this.configurationSubject.value) {
            this.configurationSubject.next(configuration);
            this.options.recordEvent({ kind: "configurationApplied", revision: configuration.revision });
        }
    }

    private observePlacement(entry: PlacementEntry): void {
        if (this.state.observePlacement(entry)) {
            this.placementSubject.next(this.state.placements);
        }
    }

    private recordFault(fault: Fault): void {
        this.options.recordEvent({ kind: "storeFailed", code: fault.code });
    }

    private async leave(): Promise<void> {
        if (this.hasLeft) {
            return;
        }
        this.hasLeft = true;
        this.state.declareLeft(this.now());
        for (const subscription of this.subscriptions) {
            subscription.unsubscribe();
        }
        this.stores.close();
        const peers = this.state.members(this.now()).filter(member => member.judged === "live");
        const notifications = peers.slice(0, maximumLeaveNotifications).map(async ({ address }) => {
            const request = this.state.begin(address, this.now());
            await this.link.exchange(address, request, this.now() + exchangeTimeoutMilliseconds);
        });
        await Promise.all(notifications);
        await this.link.close();
    }

    private status(): MeshStatus {
        const now = this.now();
        const { configuration, configurationConfirmedAt: confirmedAt } = this.state;
        return {
            member: this.id,
            ready: this.state.isReady(now),
            configuration: {
                revisionInForce: configuration.revisionInForce,
                hash: configuration.digest.hash,
                confirmedAgeMilliseconds:
                    confirmedAt === undefined ? undefined : Math.round(now - confirmedAt),
                rejections: configuration.rejections,
            },
            watching: this.stores.isWatching,
            members: this.state.members(now),
            endpoints: this.state.sizes.endpoints,
            probes: this.probes.assignedCount,
            peerBytes: this.link.bytes(),
        };
    }
}

const notStarted: Fault = {
    code: "peerUnreachable",
    message: "the mesh of this process has not started yet",
    step: "gossip",
    notRun: true,
};

/** Starts the mesh; throws a ChervilError if the peers' port cannot be opened. */
export async function startMesh(options: MeshOptions): Promise<Mesh> {
    const { settings, role, clock, random } = options;
    const id = `${settings.instance}/${role}`;
    const holder: { running?: RunningMesh } = {};
    const link = await (options.startLink ?? startGossipTransport)({
        listen: settings.peer.listen,
        tls: settings.peer.tls,
        monotonicMilliseconds: clock.monotonicMilliseconds,
        onExchange: request => {
            if (holder.running === undefined) {
                throw ChervilError.create(notStarted);
            }
            return holder.running.respond(request);
        },
    });
    const state = MeshState.create({
        id,
        body: {
            address: link.address,
            failureDomain: settings.failureDomain,
            instance: settings.instance,
            role,
            state: "live",
        },
        incarnation: Math.floor(clock.wallMilliseconds()),
        seeds: settings.peer.seeds,
        now: clock.monotonicMilliseconds(),
        random,
    });
    const running = new RunningMesh(options, state, id, link);
    holder.running = running;
    running.start();
    return running.mesh;
}

export type { Mesh, MeshOptions, MeshStatus } from "./mesh-options.js";
