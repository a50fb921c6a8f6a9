/**
 * Measures how many of each model's groups the present work takes. The mix of models changes through the day, so placement
 * follows the observed requests and not only the shares that the operators configured for the start.
 */
import type { FleetView } from "./fleet-view.js";
import type { InFlightRequests } from "./in-flight-requests.js";

/** Interval between samples of the in-flight requests, in milliseconds. */
const sampleIntervalMilliseconds = 250;
/** Weight of the newest sample in the moving average; a change counts for two thirds after about three seconds. */
const newestSampleWeight = 0.08;

/** Groups of one model over all fabric domains. */
export interface ModelSupply {
    /** Number of groups that serve. */
    readonly groups: number;
    /** Number of groups whose slots the in-flight requests would fill. */
    readonly groupsInUse: number;
}

export class ModelDemandTracker {
    private readonly averageGroupsInUse = new Map<string, number>();
    private nextSampleAt = 0;

    private constructor(private readonly inFlight: InFlightRequests) {}

    public static create(inFlight: InFlightRequests): ModelDemandTracker {
        return new ModelDemandTracker(inFlight);
    }

    /** Samples the in-flight requests if a sample is due. */
    public tick(view: FleetView, now: number): void {
        if (now < this.nextSampleAt) {
            return;
        }
        this.nextSampleAt = now + sampleIntervalMilliseconds;
        const sample = new Map<string, number>();
        for (const [key, { model, profile }] of view.groups) {
            const groupsTaken = this.inFlight.backlogOf(key, now).all.requests / profile.slots;
            sample.set(model.name, (sample.get(model.name) ?? 0) + groupsTaken);
        }
        for (const model of new Set([...sample.keys(), ...this.averageGroupsInUse.keys()])) {
            const previous = this.averageGroupsInUse.get(model) ?? 0;
            this.averageGroupsInUse.set(
                model,
                previous + newestSampleWeight * ((sample.get(model) ?? 0) - previous),
            );
        }
    }

    /** Returns the supply by model, as of the last sample. */
    public supplies(view: FleetView): ReadonlyMap<string, ModelSupply> {
        const counts = view.countByModel();
        const models = new Set([...counts.keys(), ...this.averageGroupsInUse.keys()]);
        return new Map(
            [...models].map(model => [
                model,
                { groups: counts.get(model) ?? 0, groupsInUse: this.averageGroupsInUse.get(model) ?? 0 },
            ]),
        );
    }
}
