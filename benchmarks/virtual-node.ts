/** One daemon of a simulated mesh: the real state machines with fake inputs and outputs. */
import type { EndpointReport } from "../src/core/endpoints.js";
import type { FollowerCommand, FollowerEvent } from "../src/core/store-follower.js";
import { StoreFollower } from "../src/core/store-follower.js";
import type { Instance } from "../src/core/instances.js";
import type { MeshRules } from "../src/core/mesh-state-options.js";
import { MeshState } from "../src/core/mesh-state.js";
import type { PeerExchange } from "../src/core/mesh-messages.js";
import { firstRoundDelayMilliseconds, roundIntervalMilliseconds } from "../src/core/exchange-rounds.js";
import { ProbePlan } from "../src/core/probe-plan.js";
import type { VirtualLoop } from "./virtual-loop.js";
import type { VirtualStore } from "./virtual-store.js";

const tickIntervalMilliseconds = 250;

/** How nodes follow the store; "watch" and "poll" are the baselines. */
export type FollowMode = "mesh" | "watch" | "poll";

/** Dependencies of a node: its connections to the other nodes, the endpoints and the store. */
export interface NodeContext {
    readonly loop: VirtualLoop;
    readonly store: VirtualStore;
    readonly random: () => number;
    readonly exchange: (
        from: VirtualNode,
        address: string,
        request: PeerExchange,
        respond: (response: PeerExchange | undefined) => void,
    ) => void;
    readonly probe: (
        from: VirtualNode,
        instance: Instance,
        respond: (report: EndpointReport | undefined) => void,
    ) => void;
    /** False while the node is cut off from the store. */
    readonly reachesStore: (node: VirtualNode) => boolean;
    readonly rules: MeshRules;
    readonly readsAfterGap: boolean;
    readonly follow: FollowMode;
    readonly contacts: readonly string[];
}

/** Location of a daemon. */
export interface NodeLocation {
    readonly id: string;
    readonly failureDomain: string;
    readonly incarnation: number;
}

/** One incarnation of a daemon; its address is its id. */
export class VirtualNode {
    public readonly state: MeshState;
    public isPaused = false;
    public isDead = false;
    /** Work that arrived while the node was paused. */
    private readonly pending: (() => void)[] = [];
    private readonly following: StoreFollower;
    private readonly probes = ProbePlan.create();
    private closeWatch: (() => void) | undefined;
    private listStartedAt = 0;
    private nextRoundAt: number;

    private constructor(
        public readonly location: NodeLocation,
        private readonly context: NodeContext,
    ) {
        const { loop, random, rules, readsAfterGap } = context;
        const now = loop.now();
        const { id, failureDomain, incarnation } = location;
        const body = { address: id, failureDomain, instance: id, role: "entry", state: "live" } as const;
        const seeds = context.contacts;
        this.state = MeshState.create({ id, body, incarnation, seeds, now, random, rules });
        this.following = StoreFollower.create({ watching: false, now, random, readsAfterGap });
        this.nextRoundAt = now + firstRoundDelayMilliseconds(id);
    }

    public static start(location: NodeLocation, context: NodeContext): VirtualNode {
        const node = new VirtualNode(location, context);
        node.tick();
        context.loop.every(tickIntervalMilliseconds, () => {
            node.runWhenActive(() => node.tick(), true);
            return !node.isDead;
        });
        return node;
    }

    /** Runs an action now, after the pause, or never if the node is dead; ticks missed in a pause are not repeated. */
    public runWhenActive(action: () => void, isTick = false): void {
        if (this.isDead || (this.isPaused && isTick)) {
            return;
        }
        if (this.isPaused) {
            this.pending.push(action);
            return;
        }
        action();
    }

    /** Resumes after a pause: runs the late tick first, then the deferred work. */
    public resume(): void {
        this.isPaused = false;
        this.tick();
        this.pending.splice(0).forEach(action => this.runWhenActive(action));
    }

    /** Silences the watch without an error, as when the network to the store is cut. */
    public silenceWatch(): void {
        this.closeWatch?.();
    }

    public die(): void {
        this.isDead = true;
        this.closeWatch?.();
    }

    private tick(): void {
        const { loop } = this.context;
        const now = loop.now();
        this.state.detectPause(now);
        if (now >= this.nextRoundAt) {
            this.nextRoundAt = now + roundIntervalMilliseconds;
            const { exchanges } = this.state.tick(now);
            exchanges.forEach(({ address, request }) => this.exchange(address, request));
        }
        const confirmedAt = this.state.configurationConfirmedAt;
        this.follow({ kind: "mode", watching: this.isWatcher(now) });
        this.follow({ kind: "tick", confirmedAt: this.context.follow === "mesh" ? confirmedAt : undefined });
        this.probe(now);
    }

    private isWatcher(now: number): boolean {
        const { follow } = this.context;
        return follow === "watch" || (follow === "mesh" && this.state.isWatcher(now));
    }

    private exchange(address: string, request: PeerExchange): void {
        const { loop, exchange } = this.context;
        exchange(this, address, request, response =>
            this.runWhenActive(() => {
                if (response === undefined) {
                    this.state.failExchange(address, loop.now());
                } else {
                    this.state.finishExchange(address, request, response, loop.now());
                }
            }),
        );
    }

    private probe(now: number): void {
        const { probe } = this.context;
        const view = {
            self: this.location.id,
            failureDomain: this.location.failureDomain,
            instances: this.state.instances,
            liveIn: (domain: string) => this.state.liveIn(domain, now),
            liveAnywhere: () => this.state.substituteProbers(now),
            health: (instance: string) => this.state.health(instance),
            healthMilliseconds: this.state.configuration.configuration.placement.healthMilliseconds,
        };
        for (const instance of this.probes.takeDue(view, now)) {
            probe(this, instance, report =>
                this.runWhenActive(() => {
                    const at = this.context.loop.now();
                    if (report !== undefined) {
                        this.probes.recordSuccess(instance.id, view, at);
                        this.state.observeReport(report, now);
                        return;
                    }
                    const since = this.probes.recordFailure(instance.id, now, at);
                    if (since !== undefined) {
                        this.state.observeFailure(instance.id, since, at);
                    }
                }),
            );
        }
    }

    private follow(event: FollowerEvent): void {
        this.following.step(event, this.context.loop.now()).forEach(command => this.run(command));
    }

    private run(command: FollowerCommand): void {
        const { store, reachesStore, loop } = this.context;
        const { state } = this;
        switch (command.kind) {
            case "list":
                this.listStartedAt = loop.now();
                if (reachesStore(this)) {
                    store.read(response =>
                        this.runWhenActive(() =>
                            this.follow({ kind: "listed", attempt: command.attempt, answer: response }),
                        ),
                    );
                }
                break;
            case "watch":
                this.closeWatch = store.watch(command.from.revision, event => {
                    this.runWhenActive(() =>
                        this.follow({ kind: "watched", attempt: command.attempt, event }),
                    );
                });
                break;
            case "unwatch":
                this.closeWatch?.();
                this.closeWatch = undefined;
                break;
            case "apply":
                if (!state.configuration.applySnapshot(command.answer).stale) {
                    state.confirm(this.listStartedAt);
                }
                break;
            case "applyWatch":
                state.configuration.applyWatch(command.event);
                state.confirm(state.arrivalTime(loop.now()));
                break;
        }
    }
}
