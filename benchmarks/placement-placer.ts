/** Simulates a placer process: its planner, its pauses, and its calls to the fakes. */
import type { Lease } from "../src/contracts/key-value-stores.js";
import type { Result } from "../src/core/errors.js";
import { fail, succeed } from "../src/core/errors.js";
import type { DomainCommand, DomainEvent } from "../src/core/domain-placers.js";
import { DomainPlacers } from "../src/core/domain-placers.js";
import type { PlacerEvent } from "../src/core/placement-messages.js";
import type { PlacementPolicy } from "../src/core/placement-policy.js";
import { placementKey, placementLeaseKey } from "../src/core/fabric-placement.js";
import type { PlacementSimulation } from "./placement-simulation.js";

const tickIntervalMilliseconds = 250;

export class FakePlacer {
    private pausedUntil = 0;
    private readonly queue: DomainEvent[] = [];
    private placers: DomainPlacers;
    private nonce = 0;
    private incarnation = 0;

    private constructor(
        public readonly id: string,
        private readonly simulation: PlacementSimulation,
    ) {
        this.placers = this.createPlacers();
        const offset = simulation.random() * tickIntervalMilliseconds;
        simulation.loop.after(offset, () =>
            simulation.loop.every(tickIntervalMilliseconds, () => this.receive({ kind: "tick" })),
        );
        if (simulation.options.placersProbe) {
            simulation.loop.after(offset, () =>
                simulation.loop.every(simulation.options.probeMilliseconds, () => this.probeAll()),
            );
        }
    }

    public static create(id: string, simulation: PlacementSimulation): FakePlacer {
        return new FakePlacer(id, simulation);
    }

    public pause(milliseconds: number): void {
        const { loop } = this.simulation;
        this.pausedUntil = Math.max(this.pausedUntil, loop.now() + milliseconds);
        loop.at(this.pausedUntil, () => this.drainQueue());
    }

    /** Replaces the process by a new one without state. */
    public restart(): void {
        this.incarnation += 1;
        this.queue.length = 0;
        this.pausedUntil = 0;
        this.placers = this.createPlacers();
        this.receive({ kind: "instances", instances: this.simulation.listInstances() });
    }

    /** Handles an event now, or when the process resumes from a pause. */
    public receive(event: DomainEvent): void {
        if (this.simulation.loop.now() < this.pausedUntil) {
            if (event.kind !== "tick" || this.queue.at(-1)?.kind !== "tick") {
                this.queue.push(event);
            }
            return;
        }
        this.placers.step(event, this.simulation.loop.now()).forEach(command => this.run(command));
    }

    private drainQueue(): void {
        if (this.simulation.loop.now() >= this.pausedUntil) {
            this.queue.splice(0).forEach(event => this.receive(event));
        }
    }

    private createPlacers(): DomainPlacers {
        const { options, random } = this.simulation;
        const placers = DomainPlacers.create({
            failureDomain: "zone-1",
            instance: this.id,
            holder: `${this.id}/${random()}`,
            createNonce: () => `${this.id}/${(this.nonce += 1)}`,
            decideRepair: options.decideRepair,
        });
        placers.step({ kind: "policy", policy: this.effectivePolicy() }, this.simulation.loop.now());
        return placers;
    }

    /** Returns the policy; mutants get one that lets them skip a wait. */
    private effectivePolicy(): PlacementPolicy {
        const { mutant, policy } = this.simulation.options;
        if (mutant === "takeoverWaitSkipped") {
            return { ...policy, enginesCheckFencing: true };
        }
        return mutant === "settleSkipped"
            ? { ...policy, dispatchMilliseconds: -policy.healthMilliseconds }
            : policy;
    }

    private probeAll(): void {
        if (this.simulation.loop.now() < this.pausedUntil) {
            return;
        }
        for (const instance of this.simulation.engines.keys()) {
            this.simulation.probeHealth(this.id, instance, health =>
                this.receive({ kind: "health", health }),
            );
        }
    }

    private run({ fabricDomain, command }: DomainCommand): void {
        const { simulation, incarnation } = this;
        const { store, loop } = simulation;
        const reply = (event: PlacerEvent): void => {
            if (incarnation === this.incarnation) {
                this.receive({ kind: "answer", fabricDomain, event });
            }
        };
        const leaseKey = placementLeaseKey(fabricDomain);
        const key = placementKey(fabricDomain);
        switch (command.kind) {
            case "record":
                simulation.events.push({ at: loop.now(), process: this.id, body: command.body });
                return;
            case "readLease":
                store.get(this.id, leaseKey, result =>
                    reply({ kind: "leaseRead", call: command.call, result }),
                );
                return;
            case "grantLease":
                store.grantLease(this.id, command.seconds, result =>
                    reply({ kind: "leaseGranted", call: command.call, result: this.alterLease(result) }),
                );
                return;
            case "claimLease": {
                const { value, lease } = command;
                store.compareAndSwap(this.id, { key: leaseKey, expectedRevision: 0, value, lease }, outcome =>
                    reply({ kind: "leaseClaimed", call: command.call, outcome }),
                );
                return;
            }
            case "renewLease":
                store.renewLease(this.id, command.lease, result =>
                    this.replyToRenewal(command.call, result, reply),
                );
                return;
            case "revokeLease":
                store.revokeLease(this.id, command.lease);
                return;
            case "readPlacement":
                store.get(this.id, key, result =>
                    reply({ kind: "placementRead", call: command.call, result }),
                );
                return;
            case "swapPlacement": {
                const { value, expectedRevision } = command;
                store.compareAndSwap(this.id, { key, expectedRevision, value }, outcome =>
                    reply({ kind: "placementSwapped", call: command.call, outcome }),
                );
                return;
            }
            case "probe":
                this.probe(command.call, command.instance.id, reply);
                return;
            case "order":
                this.order(command, reply);
        }
    }

    private probe(call: number, instance: string, reply: (event: PlacerEvent) => void): void {
        this.simulation.probe(this.id, instance, (report, sentAt) =>
            reply({ kind: "probed", call, instance, sentAt, result: succeed(report) }),
        );
    }

    private order(
        command: Extract<DomainCommand["command"], { readonly kind: "order" }>,
        reply: (event: PlacerEvent) => void,
    ): void {
        const { simulation } = this;
        const sentAt = simulation.loop.now();
        const { call, order } = command;
        const instance = command.instance.id;
        if (simulation.options.mutant === "movedWithoutRelease" && order.kind === "release") {
            simulation.probe(this.id, instance, report => {
                const idle = {
                    ...report,
                    state: "idle" as const,
                    group: undefined,
                    sequence: report.sequence + 50,
                };
                const result = succeed({ accepted: true, report: idle });
                reply({ kind: "orderAnswered", call, instance, sentAt, result });
            });
            return;
        }
        simulation.sendOrder(this.id, order, instance, result =>
            reply({ kind: "orderAnswered", call, instance, sentAt, result }),
        );
    }

    /** A placer that does not check its lease treats every lease as endless. */
    private alterLease(result: Result<Lease>): Result<Lease> {
        const isUnchecked = this.simulation.options.mutant === "leaseUnchecked";
        return result.success && isUnchecked
            ? succeed({ ...result.data, deadline: Number.MAX_VALUE })
            : result;
    }

    private replyToRenewal(call: number, result: Result<Lease>, reply: (event: PlacerEvent) => void): void {
        const isUnchecked = this.simulation.options.mutant === "leaseUnchecked";
        const shown =
            isUnchecked && !result.success
                ? fail<Lease>({ ...result.fault, code: "storeUnavailable" })
                : this.alterLease(result);
        reply({ kind: "leaseRenewed", call, result: shown });
    }
}
