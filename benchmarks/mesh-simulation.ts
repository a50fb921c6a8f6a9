/** Simulates a mesh with faults: daemons, endpoints, the store and the network between them. */
import type { EndpointReport } from "../src/core/endpoints.js";
import type { Instance } from "../src/core/instances.js";
import type { MeshRules } from "../src/core/mesh-state-options.js";
import { meshRules } from "../src/core/mesh-state-options.js";
import type { PeerExchange } from "../src/core/mesh-messages.js";
import { exchangeTimeoutMilliseconds } from "../src/core/exchange-rounds.js";
import { probeTimeoutMilliseconds } from "../src/core/probe-plan.js";
import { createRandomGenerator } from "../src/core/random-numbers.js";
import { VirtualLoop } from "./virtual-loop.js";
import type { FollowMode, NodeContext } from "./virtual-node.js";
import { VirtualNode } from "./virtual-node.js";
import { VirtualStore } from "./virtual-store.js";

/** Members of one replica group of the simulated endpoints. */
const groupSize = 8;

/** Size and behaviour of a simulation. */
export interface MeshSimulationOptions {
    readonly seed: number;
    readonly failureDomains: number;
    readonly daemonsPerDomain: number;
    readonly endpointsPerDomain: number;
    /** Total daemons; the last failure domains have one fewer if the division leaves a remainder. */
    readonly daemons?: number;
    readonly rules?: MeshRules;
    readonly readsAfterGap?: boolean;
    readonly follow?: FollowMode;
    /** Called with every message that goes over the network. */
    readonly onMessage?: (from: string, to: string, message: PeerExchange) => PeerExchange;
    readonly onProbe?: (from: string) => void;
}

/** One endpoint. */
export interface VirtualEndpoint {
    readonly instance: Instance;
    readonly isLeader: boolean;
    readonly group: string;
    incarnation: number;
    sequence: number;
    diedAt: number | undefined;
}

/** One simulated mesh. */
export class MeshSimulation {
    public readonly loop = VirtualLoop.create();
    public readonly random: () => number;
    public readonly store: VirtualStore;
    public readonly nodes = new Map<string, VirtualNode>();
    public readonly endpoints = new Map<string, VirtualEndpoint>();
    /** Failure domains that are cut off from the others, and nodes that are cut off from the store. */
    public readonly cutDomains = new Set<string>();
    public readonly cutFromStore = new Set<string>();
    public lossRate = 0;
    private incarnation = 1_000;

    private constructor(public readonly options: MeshSimulationOptions) {
        this.random = createRandomGenerator(options.seed);
        this.store = VirtualStore.create(this.loop, this.random);
    }

    public static create(options: MeshSimulationOptions): MeshSimulation {
        const simulation = new MeshSimulation(options);
        for (let domain = 0; domain < options.failureDomains; domain += 1) {
            simulation.createEndpoints(`fd-${domain}`);
        }
        const { instances, nodeContext } = simulation;
        for (const id of simulation.nodeIds) {
            simulation.startWithContext(id, instances, nodeContext);
        }
        return simulation;
    }

    public get nodeIds(): readonly string[] {
        const { failureDomains, daemonsPerDomain, daemons } = this.options;
        const length = daemons ?? failureDomains * daemonsPerDomain;
        return Array.from({ length }, (_, index) => {
            const domain = index % failureDomains;
            return `fd-${domain}/entry-${Math.floor(index / failureDomains)}`;
        });
    }

    public get liveNodes(): readonly VirtualNode[] {
        return [...this.nodes.values()].filter(node => !node.isDead && !node.isPaused);
    }

    /** Starts a daemon, or restarts it with a higher incarnation. */
    public start(id: string): VirtualNode {
        this.nodes.get(id)?.die();
        this.incarnation += 1;
        const failureDomain = id.split("/")[0]!;
        const node = VirtualNode.start(
            { id, failureDomain, incarnation: this.incarnation },
            this.nodeContext,
        );
        node.state.setInstances(this.instances, this.loop.now());
        this.nodes.set(id, node);
        return node;
    }

    public get instances(): readonly Instance[] {
        return [...this.endpoints.values()].map(endpoint => endpoint.instance);
    }

    /** Cuts a node off from the store; its watch goes silent. */
    public cutStore(id: string): void {
        this.cutFromStore.add(id);
        this.nodes.get(id)?.silenceWatch();
    }

    /** Announces to one node, as the instance list does, that an endpoint is leaving. */
    public announceLeaving(endpoint: string, node: VirtualNode): void {
        const announced = this.instances.map(each =>
            each.id === endpoint ? { ...each, state: "leaving" as const } : each,
        );
        node.state.setInstances(announced, this.loop.now());
    }

    public restartEndpoint(endpoint: VirtualEndpoint): void {
        endpoint.incarnation += 1;
        endpoint.sequence = 0;
        endpoint.diedAt = undefined;
    }

    private startWithContext(id: string, instances: readonly Instance[], context: NodeContext): VirtualNode {
        this.incarnation += 1;
        const failureDomain = id.split("/")[0]!;
        const node = VirtualNode.start({ id, failureDomain, incarnation: this.incarnation }, context);
        node.state.setInstances(instances, this.loop.now());
        this.nodes.set(id, node);
        return node;
    }

    private get nodeContext(): NodeContext {
        const { rules = meshRules, readsAfterGap = true, follow = "mesh" } = this.options;
        return {
            loop: this.loop,
            store: this.store,
            random: this.random,
            exchange: (from, address, request, respond) => this.exchange(from, address, request, respond),
            probe: (from, instance, respond) => this.probe(from, instance, respond),
            reachesStore: node => !this.cutFromStore.has(node.location.id),
            rules,
            readsAfterGap,
            follow,
            // In the baselines nodes know no other members, so each follows the store by itself.
            contacts: follow === "mesh" ? this.nodeIds : [],
        };
    }

    private createEndpoints(failureDomain: string): void {
        for (let index = 0; index < this.options.endpointsPerDomain; index += 1) {
            const id = `${failureDomain}-engine-${index}`;
            const group = `${failureDomain}-group-${Math.floor(index / groupSize)}`;
            const fabricDomain = `${failureDomain}-fabric`;
            const address = id;
            const instance: Instance = {
                id,
                address,
                failureDomain,
                fabricDomain,
                role: "engine",
                state: "live",
            };
            const isLeader = index % groupSize === 0;
            this.endpoints.set(id, {
                instance,
                isLeader,
                group,
                incarnation: 1,
                sequence: 0,
                diedAt: undefined,
            });
        }
    }

    private isCut(left: string, right: string): boolean {
        return left !== right && (this.cutDomains.has(left) || this.cutDomains.has(right));
    }

    private delay(): number {
        return 1 + this.random() * 10;
    }

    private exchange(
        from: VirtualNode,
        address: string,
        request: PeerExchange,
        respond: (response: PeerExchange | undefined) => void,
    ): void {
        const transmit = this.options.onMessage ?? ((_from, _to, message) => message);
        let isSettled = false;
        const settle = (result: PeerExchange | undefined) => {
            if (!isSettled) {
                isSettled = true;
                respond(result);
            }
        };
        this.loop.after(exchangeTimeoutMilliseconds, () => settle(undefined));
        const sent = transmit(from.location.id, address, request);
        const isLost = this.random() < this.lossRate;
        this.loop.after(this.delay(), () => {
            const target = this.nodes.get(address);
            if (
                isLost ||
                target === undefined ||
                this.isCut(from.location.failureDomain, target.location.failureDomain)
            ) {
                return;
            }
            target.runWhenActive(() => {
                const result = transmit(
                    address,
                    from.location.id,
                    target.state.answer(sent, this.loop.now()).answer,
                );
                if (this.random() >= this.lossRate) {
                    this.loop.after(this.delay(), () => settle(result));
                }
            });
        });
    }

    private probe(
        from: VirtualNode,
        instance: Instance,
        respond: (report: EndpointReport | undefined) => void,
    ): void {
        this.options.onProbe?.(from.location.id);
        const endpoint = this.endpoints.get(instance.id);
        const isReachable =
            endpoint !== undefined &&
            endpoint.diedAt === undefined &&
            !this.isCut(from.location.failureDomain, instance.failureDomain);
        if (!isReachable) {
            this.loop.after(probeTimeoutMilliseconds, () => respond(undefined));
            return;
        }
        endpoint.sequence += 1;
        const report = reportOf(endpoint);
        this.loop.after(this.delay(), () => respond(report));
    }
}

function reportOf(endpoint: VirtualEndpoint): EndpointReport {
    const { instance, incarnation, sequence, group, isLeader } = endpoint;
    const load = { running: isLeader ? sequence % 7 : 0, waiting: 0, slots: isLeader ? 32 : 0 };
    const warm = [{ model: "draft", version: "1" }];
    return {
        instance: instance.id,
        incarnation,
        sequence,
        state: "serving",
        group,
        epoch: 3,
        leaving: false,
        load,
        warm,
    };
}
