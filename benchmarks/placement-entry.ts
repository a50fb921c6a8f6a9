/** Simulates an entry: receives placements with a lag, probes engines, and dispatches through the serving gate. */
import type { EndpointHealth } from "../src/core/endpoints.js";
import { isLaterReport } from "../src/core/endpoints.js";
import type { FabricPlacement } from "../src/core/fabric-placement.js";
import { checkServingGate } from "../src/core/serving-gate.js";
import type { PlacementSimulation } from "./placement-simulation.js";

const dispatchIntervalMilliseconds = 200;
const placementLagMilliseconds = 3_000;

export class FakeEntry {
    private readonly health = new Map<string, EndpointHealth>();
    private readonly placements = new Map<string, FabricPlacement>();
    private pausedUntil = 0;

    private constructor(
        public readonly id: string,
        private readonly simulation: PlacementSimulation,
    ) {
        const { loop, options } = simulation;
        const offset = simulation.random() * dispatchIntervalMilliseconds;
        loop.after(offset, () => loop.every(dispatchIntervalMilliseconds, () => this.dispatch()));
        loop.after(offset, () => loop.every(options.probeMilliseconds, () => this.probeAll()));
    }

    public static create(id: string, simulation: PlacementSimulation): FakeEntry {
        return new FakeEntry(id, simulation);
    }

    public pause(milliseconds: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.simulation.loop.now() + milliseconds);
    }

    /** Applies a written placement after a lag; an older placement never replaces a newer one. */
    public followPlacement(placement: FabricPlacement): void {
        this.simulation.loop.after(this.simulation.random() * placementLagMilliseconds, () => {
            const known = this.placements.get(placement.fabricDomain);
            if (known === undefined || placement.epoch >= known.epoch) {
                this.placements.set(placement.fabricDomain, placement);
            }
        });
    }

    private probeAll(): void {
        if (this.simulation.loop.now() < this.pausedUntil) {
            return;
        }
        for (const instance of this.simulation.engines.keys()) {
            this.simulation.probeHealth(this.id, instance, health => {
                if (isLaterReport(health.report, this.health.get(instance)?.report)) {
                    this.health.set(instance, health);
                }
            });
        }
    }

    private dispatch(): void {
        const { loop, options } = this.simulation;
        const now = loop.now();
        if (now < this.pausedUntil) {
            return;
        }
        for (const group of [...this.placements.values()].flatMap(placement => placement.groups)) {
            const view = {
                healthOf: (instance: string) => this.health.get(instance),
                isLeaving: () => false,
            };
            const isOpen =
                options.mutant === "gateSkipped"
                    ? group.state === "serving"
                    : checkServingGate(group, view, now).open;
            if (isOpen && !this.simulation.isCut(this.id, group.members[0] ?? "")) {
                this.send(group.id, group.epoch, group.members, now);
            }
        }
    }

    /** Dispatches with a delay of any length; after the deadline the entry has abandoned the dispatch. */
    private send(group: string, epoch: number, members: readonly string[], dispatchedAt: number): void {
        const { loop, options, engines, random } = this.simulation;
        const instance = members[0] ?? "";
        const engine = engines.get(instance);
        const limit = options.policy.dispatchMilliseconds;
        const transit = random() < 0.1 ? random() * limit : 1;
        const arrive = (): void => {
            if (engine === undefined || !engine.isAlive || loop.now() >= dispatchedAt + limit) {
                return;
            }
            if (loop.now() < engine.pausedUntil) {
                loop.at(engine.pausedUntil, arrive);
                return;
            }
            if (engine.accept(group, epoch, 100 + random() * 3_000)) {
                this.simulation.accepted.push({
                    at: loop.now(),
                    dispatchedAt,
                    instance,
                    group,
                    epoch,
                    members,
                });
            }
        };
        loop.after(transit, arrive);
    }
}
