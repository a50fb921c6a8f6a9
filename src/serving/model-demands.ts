/**
 * How much of each model's groups the present work takes. Answers the load whose mix of models changes through the day:
 * placement follows what callers ask for, not only what the operators stated for its start.
 */
import type { FleetView } from "./fleet-views.js";
import type { GroupFlights } from "./group-flights.js";

/** Time between two looks at the work in flight, in milliseconds. */
const lookMilliseconds = 250;
/** Weight of the newest look in the moving mean; a change counts for two thirds after about three seconds. */
const newestWeight = 0.08;

/** Groups of one model over all fabric domains. */
export interface ModelSupply {
    /** Groups that serve. */
    readonly groups: number;
    /** Groups whose slots the work in flight would fill. */
    readonly groupsInUse: number;
}

export class ModelDemands {
    private readonly inUse = new Map<string, number>();
    private nextLookAt = 0;

    private constructor(private readonly flights: GroupFlights) {}

    public static create(flights: GroupFlights): ModelDemands {
        return new ModelDemands(flights);
    }

    /** Takes a look at the work in flight, if one is due. */
    public tick(view: FleetView, now: number): void {
        if (now < this.nextLookAt) {
            return;
        }
        this.nextLookAt = now + lookMilliseconds;
        const present = new Map<string, number>();
        for (const [key, { model, profile }] of view.groups) {
            const taken = this.flights.backlogOf(key, now).all.requests / profile.slots;
            present.set(model.name, (present.get(model.name) ?? 0) + taken);
        }
        for (const model of new Set([...present.keys(), ...this.inUse.keys()])) {
            const before = this.inUse.get(model) ?? 0;
            this.inUse.set(model, before + newestWeight * ((present.get(model) ?? 0) - before));
        }
    }

    /** Supply by model, as of the last look. */
    public supplies(view: FleetView): ReadonlyMap<string, ModelSupply> {
        const counts = view.countByModel();
        const models = new Set([...counts.keys(), ...this.inUse.keys()]);
        return new Map(
            [...models].map(model => [
                model,
                { groups: counts.get(model) ?? 0, groupsInUse: this.inUse.get(model) ?? 0 },
            ]),
        );
    }
}
