/** Invariants and final conditions of a simulated mesh, checked on the store's history and the nodes' views. */
import { safeParseConfigurationValue } from "../../src/core/configuration-values.js";
import type { AcceptedChange } from "../../benchmarks/virtual-store.js";
import type { VirtualNode } from "../../benchmarks/virtual-node.js";
import type { MeshSimulation } from "../../benchmarks/mesh-simulation.js";

/** Time that the transit of messages may add to a report's age. */
const maximumTransitMilliseconds = 1_000;

interface ObservedNode {
    readonly node: VirtualNode;
    revision: number;
    readonly incarnations: Map<string, number>;
}

/** Revisions of a path that may be in force at a revision of the store; undefined stands for the default. */
function allowedAt(
    changes: readonly AcceptedChange[],
    path: string,
    revision: number,
): readonly (number | undefined)[] {
    const own = changes.filter(change => change.path === path && change.revision <= revision);
    const sinceCreation = own.slice(own.findLastIndex(change => change.text === undefined) + 1);
    const valid = sinceCreation.filter(change => safeParseConfigurationValue(path, change.text!).success);
    const last = sinceCreation.at(-1);
    if (last === undefined) {
        return [undefined];
    }
    // A process that missed the last valid value before an invalid one may hold an earlier value or none.
    return valid.includes(last) ? [last.revision] : [undefined, ...valid.map(change => change.revision)];
}

/** Checks one simulation periodically, and keeps the first violation. */
export class MeshChecker {
    private readonly seen = new Map<string, ObservedNode>();
    public problem: string | undefined;

    private constructor(private readonly simulation: MeshSimulation) {
        simulation.loop.every(500, () => this.checkAll());
    }

    public static create(simulation: MeshSimulation): MeshChecker {
        return new MeshChecker(simulation);
    }

    /** Every live node must be ready and have the change's revision, or a later one, in force. */
    public expectInForce(change: number): void {
        for (const node of this.simulation.liveNodes) {
            const { revisionInForce } = node.state.configuration;
            if (revisionInForce < change) {
                this.report(
                    node,
                    `has only revision ${revisionInForce} in force, 13 s after ${change} was accepted`,
                );
            }
            if (!node.state.isReady(this.simulation.loop.now())) {
                this.report(node, "is not ready");
            }
        }
    }

    /** All live nodes must hold equal configurations: the latest valid values that any of them has seen. */
    public expectAgreement(): void {
        const digests = new Set(
            this.simulation.liveNodes.map(node =>
                JSON.stringify([
                    node.state.configuration.digest.hash,
                    node.state.configuration.digest.standingHash,
                ]),
            ),
        );
        if (digests.size > 1) {
            this.problem ??= `the nodes hold ${digests.size} different configurations`;
        }
    }

    /** Live nodes must judge each other live, and must not judge dead nodes live or suspect. */
    public expectMembers(): void {
        const now = this.simulation.loop.now();
        for (const node of this.simulation.liveNodes) {
            const judged = new Map(node.state.members(now).map(member => [member.id, member.judged]));
            for (const [id, other] of this.simulation.nodes) {
                const state = judged.get(id);
                if (other.isDead ? state === "live" || state === "suspect" : state !== "live") {
                    this.report(node, `judges ${id} ${state}, which is ${other.isDead ? "dead" : "live"}`);
                }
            }
        }
    }

    public expectLeaving(endpoint: string): void {
        for (const node of this.simulation.liveNodes) {
            if (!node.state.isLeaving(endpoint)) {
                this.report(node, `has not received the announcement that ${endpoint} leaves`);
            }
        }
    }

    /** After the faults, live endpoints must be healthy at every live node, in their current incarnation. */
    public expectHealthy(): void {
        const now = this.simulation.loop.now();
        for (const node of this.simulation.liveNodes) {
            for (const [id, endpoint] of this.simulation.endpoints) {
                const health = node.state.health(id);
                const isHealthy = health !== undefined && health.healthyUntil > now;
                if (
                    endpoint.diedAt === undefined &&
                    (!isHealthy || health.report.incarnation < endpoint.incarnation)
                ) {
                    this.report(node, `does not hold ${id} healthy in incarnation ${endpoint.incarnation}`);
                }
            }
        }
    }

    private checkAll(): void {
        for (const [id, node] of this.simulation.nodes) {
            if (!node.isDead) {
                this.checkNode(id, node);
            }
        }
    }

    private checkNode(id: string, node: VirtualNode): void {
        const known = this.seen.get(id);
        const seen =
            known?.node === node ? known : { node, revision: 0, incarnations: new Map<string, number>() };
        this.seen.set(id, seen);
        this.checkConfiguration(node, seen);
        this.checkEndpoints(node, seen);
        const { members, endpoints } = node.state.sizes;
        if (members > this.simulation.nodes.size || endpoints > this.simulation.endpoints.size) {
            this.report(node, `holds ${members} members and ${endpoints} endpoints`);
        }
    }

    private checkConfiguration(node: VirtualNode, seen: ObservedNode): void {
        const { configuration } = node.state;
        const { revisionInForce: revision } = configuration;
        if (revision < seen.revision) {
            this.report(node, `went back from revision ${seen.revision} to ${revision}`);
        }
        seen.revision = revision;
        const { changes } = this.simulation.store;
        for (const path of revision === 0 ? [] : new Set(changes.map(change => change.path))) {
            const inForce = configuration.revisionOf(path);
            if (!allowedAt(changes, path, revision).includes(inForce)) {
                this.report(node, `has ${path} of revision ${inForce} in force at revision ${revision}`);
            }
        }
    }

    private checkEndpoints(node: VirtualNode, seen: ObservedNode): void {
        const now = this.simulation.loop.now();
        const { healthMilliseconds } = node.state.configuration.configuration.placement;
        for (const [id, endpoint] of this.simulation.endpoints) {
            const health = node.state.health(id);
            const incarnation = health?.report.incarnation ?? 0;
            if (incarnation > 0 && incarnation < (seen.incarnations.get(id) ?? 0)) {
                this.report(node, `went back to incarnation ${incarnation} of ${id}`);
            }
            seen.incarnations.set(id, Math.max(incarnation, seen.incarnations.get(id) ?? 0));
            const isHealthy = health !== undefined && health.healthyUntil > now;
            const silentMilliseconds = now - (endpoint.diedAt ?? now);
            if (
                isHealthy &&
                !node.isPaused &&
                silentMilliseconds > healthMilliseconds + maximumTransitMilliseconds
            ) {
                this.report(
                    node,
                    `holds ${id} healthy although it has been silent for ${silentMilliseconds} ms`,
                );
            }
        }
    }

    private report(node: VirtualNode, message: string): void {
        this.problem ??= `${node.location.id} ${message} at ${Math.round(this.simulation.loop.now())} ms`;
    }
}
