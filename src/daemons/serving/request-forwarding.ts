/** Follows the links of this process to the replicas, and forwards requests to other entry instances while they are lost. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { UpstreamCall, UpstreamObserver, UpstreamRequest } from "../../links/upstream-pools.js";
import { UpstreamPools } from "../../links/upstream-pools.js";
import type { DispatchChoice } from "../../serving/dispatcher.js";
import type { RequestForwarding } from "../../serving/exchange-context.js";
import type { FleetInstance } from "../../serving/fleets.js";
import type { ForwardingPeer } from "../../serving/forwarding-peers.js";
import { ForwardingPeers } from "../../serving/forwarding-peers.js";
import type { LinkResult } from "../../serving/group-orders.js";
import type { PeerMessage } from "../../serving/peer-link.js";
import type { LinkFailure, LinkState } from "../../serving/replica-reach.js";
import { ReplicaReach } from "../../serving/replica-reach.js";
import { forwardAuthorization } from "./forward-port.js";
import type { Peer } from "./serving-follower.js";

/** Maximum number of connections to one entry instance. */
const maximumConnectionsPerPeer = 256;
/** Time-out of a probe of a replica, in milliseconds. */
const probeTimeoutMilliseconds = 250;
/** Interval between two probes of a service for other entry instances, in milliseconds. */
const peerProbeIntervalMilliseconds = 500;
/** Expected number of entry instances that probe for another one at the same time. */
const peerProbers = 4;
/** Missed announcements after which the statement of an entry instance expires, as a multiple of the peers' expiry. */
const expiryFactor = 2;

export interface ForwarderOptions {
    /** Name of this entry instance. */
    readonly name: string;
    readonly clock: Clock;
    readonly random: () => number;
    readonly peerExpiryMilliseconds: () => number;
    /** True if an idle connection to an instance is available. */
    readonly isConnected: (instance: string) => boolean;
    /** Instances that may be probed. */
    readonly instances: () => Iterable<FleetInstance>;
    /** True if an instance may not be probed, so that its failures could never be told from lost links. */
    readonly isEvacuated: (instance: FleetInstance) => boolean;
    readonly probe: (instance: FleetInstance, deadline: number) => Promise<boolean>;
    /** Called when the judgement of the links to a service has changed. */
    readonly onChange: (service: string, state: LinkState) => void;
    /** Called when a replica responds that another entry instance cannot reach. */
    readonly onReachedForPeer: () => void;
    readonly log: PartLogger;
}

export class RequestForwarder implements RequestForwarding {
    private readonly reach: ReplicaReach;
    private readonly peers: ForwardingPeers;
    private readonly pools: UpstreamPools;
    /** Local monotonic milliseconds of the last probe for other entry instances, by service. */
    private readonly lastPeerProbeAt = new Map<string, number>();
    private readonly stateByService = new Map<string, LinkState>();

    private constructor(private readonly options: ForwarderOptions) {
        const { clock, random, peerExpiryMilliseconds } = options;
        this.reach = ReplicaReach.create(random);
        this.peers = ForwardingPeers.create({
            random,
            expiryMilliseconds: () => expiryFactor * peerExpiryMilliseconds(),
        });
        this.pools = UpstreamPools.create(clock, () => maximumConnectionsPerPeer);
    }

    public static create(options: ForwarderOptions): RequestForwarder {
        return new RequestForwarder(options);
    }

    public get name(): string {
        return this.options.name;
    }

    /** Number of replicas of each service from which responses arrived recently, for the other entry instances. */
    public get reachedCounts(): ReadonlyMap<string, number> {
        return this.reach.reachedCounts(this.now());
    }

    /** Services whose replicas this process cannot reach. */
    public get unreachableServices(): readonly string[] {
        return [...this.stateByService].filter(([, state]) => state !== "open").map(([service]) => service);
    }

    /** False while the links to any service are in doubt. */
    public get areLinksSound(): boolean {
        return [...this.stateByService.values()].every(state => state === "open");
    }

    /** True while nothing arrives from the replicas of a service that other entry instances reach. */
    public get isAnyCutOff(): boolean {
        const now = this.now();
        return [...this.stateByService].some(
            ([service, state]) => state === "cutOff" && this.peers.mostReached(service, now) > 0,
        );
    }

    public choosePeer(
        service: string,
        triedPeers: ReadonlySet<string>,
        choice: DispatchChoice | undefined,
    ): ForwardingPeer | undefined {
        const now = this.now();
        const state = this.reach.stateOf(service, now);
        const ask = (minimumReached: number): ForwardingPeer | undefined =>
            this.peers.choose({ service, triedPeers, minimumReached }, now);
        if (choice === undefined) {
            return state === "cutOff" ? ask(1) : undefined;
        }
        if (choice.kind === "target") {
            const { instance } = choice.target;
            return this.isUnreachable(instance) ? ask(1) : undefined;
        }
        // Part of the replicas cannot be reached from here: another entry instance may reach more of them.
        const own = this.reachedCounts.get(service) ?? 0;
        return state === "open" && !this.reach.hasLost(service, now) ? undefined : ask(own + 1);
    }

    /** True while a request to an instance would need a new connection, and none can be established. */
    public isUnreachable(instance: FleetInstance): boolean {
        const now = this.now();
        const cannotConnect =
            this.reach.isUnconnectable(instance, now) ||
            this.reach.stateOf(instance.service, now) === "connectedOnly";
        return cannotConnect && !this.options.isConnected(instance.id);
    }

    public isInDoubt(service: string): boolean {
        return this.reach.isInDoubt(service, this.now());
    }

    public isCutOff(service: string): boolean {
        return this.reach.stateOf(service, this.now()) === "cutOff";
    }

    public send(
        peer: ForwardingPeer,
        {
            body,
            isRetryable,
            usedConnections,
        }: Pick<UpstreamRequest, "body" | "isRetryable" | "usedConnections">,
        observer: UpstreamObserver,
    ): UpstreamCall {
        this.peers.start(peer.name);
        const outgoing = {
            address: peer.address,
            method: "POST",
            target: "/forwarded-requests",
            headers: [
                "Host",
                peer.address,
                "Authorization",
                forwardAuthorization(peer.secret),
                "Content-Length",
                String(body?.length ?? 0),
            ],
            body,
            isRetryable,
            needsNewConnection: false,
            usedConnections,
            // The ports of entry instances repeat no response.
            namesRequest: () => true,
            mayStart: () => true,
        };
        return this.pools.send(poolKeyOf(peer), outgoing, observer);
    }

    public release(peer: ForwardingPeer): void {
        this.peers.end(peer.name);
    }

    public recordPeerFailure(peer: ForwardingPeer): void {
        this.peers.recordFailure(peer.name, this.now());
    }

    public recordHeard(instance: FleetInstance): void {
        this.reach.recordHeard(instance, this.now());
    }

    /** Records that a new connection to an instance was established. */
    public recordConnected(instance: string): void {
        this.reach.recordConnected(instance);
    }

    public recordFailure(instance: FleetInstance, failure: LinkFailure): void {
        if (this.options.isEvacuated(instance)) {
            return;
        }
        this.reach.recordFailure(instance, failure, this.now());
        this.judge(instance.service);
        this.probeDoubtfulLinks();
    }

    /** Records what a call to an engine showed. */
    public recordLinkResult(instance: FleetInstance, result: LinkResult): void {
        if (result === "heard") {
            this.recordHeard(instance);
        } else {
            this.recordFailure(instance, result);
        }
    }

    /**
     * Records which replicas another entry instance reaches. Without requests, this process cannot tell whether it reaches
     * those that the other one does not; it probes one of them then.
     */
    public recordPeerReach(
        name: string,
        { reachedCounts, unreachableServices }: Pick<PeerMessage, "reachedCounts" | "unreachableServices">,
    ): void {
        this.peers.recordReach(name, reachedCounts, this.now());
        const own = unreachableServices.length === 0 ? new Map<string, number>() : this.reachedCounts;
        for (const service of unreachableServices.filter(each => (own.get(each) ?? 0) === 0)) {
            this.probeForPeer(service);
        }
    }

    /** Sets the registered entry instances. */
    public setRegistered(registered: readonly Peer[]): void {
        const others = registered.flatMap(({ name, address, secret }) =>
            name === this.options.name || secret === undefined ? [] : [{ name, address, secret }],
        );
        this.peers.setPeers(others);
        this.pools.keepOnly(new Set(others.map(poolKeyOf)));
    }

    public retainReplicas(replicas: ReadonlySet<string>): void {
        this.reach.retainReplicas(replicas);
    }

    /** Local monotonic milliseconds at which the next probes are due; Infinity while links are not in doubt. */
    public get nextProbesAt(): number {
        return this.reach.nextProbesAt(this.now());
    }

    /** Judges the links again, and probes replicas while links are in doubt. */
    public tick(): void {
        [...this.stateByService.keys()].forEach(service => this.judge(service));
        this.probeDoubtfulLinks();
    }

    private probeDoubtfulLinks(): void {
        this.reach.takeProbes(this.options.instances(), this.now()).forEach(instance => this.probe(instance));
    }

    private probe(instance: FleetInstance, onReached: () => void = () => undefined): void {
        void this.options.probe(instance, this.now() + probeTimeoutMilliseconds).then(isReached => {
            if (isReached) {
                this.recordConnected(instance.id);
                this.recordHeard(instance);
                onReached();
            } else {
                this.recordFailure(instance, "connect");
            }
        });
    }

    /** Probes a replica for another entry instance; of many, only a few do so at the same time. */
    private probeForPeer(service: string): void {
        const now = this.now();
        const { random, instances } = this.options;
        const candidates = [...instances()].filter(each => each.service === service && !each.isLeaving);
        const instance = candidates[Math.floor(random() * candidates.length)];
        const lastAt = this.lastPeerProbeAt.get(service) ?? Number.NEGATIVE_INFINITY;
        const isDue = now - lastAt >= peerProbeIntervalMilliseconds;
        if (instance !== undefined && isDue && random() * this.peers.count < peerProbers) {
            this.lastPeerProbeAt.set(service, now);
            this.probe(instance, this.options.onReachedForPeer);
        }
    }

    private judge(service: string): void {
        const state = this.reach.stateOf(service, this.now());
        const before = this.stateByService.get(service) ?? "open";
        this.stateByService.set(service, state);
        if (state !== before) {
            this.options.log.warn("judgement of the links to the replicas of a service has changed", {
                service,
                state,
                before,
                reachedHere: this.reachedCounts.get(service) ?? 0,
                reachedElsewhere: this.peers.mostReached(service, this.now()),
            });
            this.options.onChange(service, state);
        }
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}

/** Identifies the connections to one start of an entry instance. */
function poolKeyOf({ name, secret }: ForwardingPeer): string {
    return `${name} ${secret}`;
}
