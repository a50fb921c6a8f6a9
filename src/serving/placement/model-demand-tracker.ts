/**
 * Measures how many of each model's groups the present work takes. The mix of models changes through the day, so placement
 * follows the observed requests and not only the shares that the operators configured for the start. Requests that wait or run
 * count as they take slots; refused ones count by their estimated engine time.
 */
import type { FleetView } from "../fleet-view.js";
import type { InFlightRequests } from "../in-flight-requests.js";
import type { ModelAverages } from "./demand-averages.js";
import { DemandAverages } from "./demand-averages.js";
import type { DeploymentWork, WorkTotal } from "./deployment-work.js";

/** Interval between samples of the in-flight requests, in milliseconds. */
const sampleIntervalMilliseconds = 250;

/** Groups of one model over all fabric domains. */
export interface ModelSupply {
    /** Number of groups that serve. */
    readonly groups: number;
    /** Number of groups that the requests in flight and the refused ones would fill. */
    readonly groupsInUse: number;
    /** Part of `groupsInUse` that is refused. */
    readonly groupsRefused?: number;
    /** As `groupsInUse`, averaged over the swings of the demand. */
    readonly steadyGroupsInUse?: number;
    /** True if the model refuses work for lack of groups for longer than a crest of its demand. */
    readonly isPersistentlyShort?: boolean;
}

export class ModelDemandTracker {
    private readonly averages = DemandAverages.create();
    private previousTotals: ReadonlyMap<string, WorkTotal> | undefined;
    private sampledAt = 0;

    private constructor(
        private readonly inFlight: InFlightRequests,
        private readonly work: DeploymentWork,
    ) {}

    public static create(inFlight: InFlightRequests, work: DeploymentWork): ModelDemandTracker {
        return new ModelDemandTracker(inFlight, work);
    }

    /** Samples the work if a sample is due. */
    public tick(view: FleetView, now: number): void {
        const elapsed = now - this.sampledAt;
        if (this.previousTotals !== undefined && elapsed < sampleIntervalMilliseconds) {
            return;
        }
        const inUse = this.sampleInFlight(view, now);
        const refused = this.sampleRefused(Math.max(1, elapsed), now);
        this.sampledAt = now;
        const usage = [...new Set([...inUse.keys(), ...refused.keys()])].map(model => {
            const refusedGroups = refused.get(model) ?? 0;
            return [
                model,
                { inUse: (inUse.get(model) ?? 0) + refusedGroups, refused: refusedGroups },
            ] as const;
        });
        this.averages.record(new Map(usage), view.countByModel());
    }

    /** Returns the supply by model, as of the last sample. */
    public supplies(view: FleetView): ReadonlyMap<string, ModelSupply> {
        const counts = view.countByModel();
        const models = new Set([...counts.keys(), ...this.averages.models]);
        return new Map(
            [...models].map(model => [model, supplyOf(counts.get(model) ?? 0, this.averages.of(model))]),
        );
    }

    private sampleInFlight(view: FleetView, now: number): ReadonlyMap<string, number> {
        const sample = new Map<string, number>();
        for (const [key, { model, profile }] of view.groups) {
            const groupsTaken = this.inFlight.backlogOf(key, now).all.requests / profile.slots;
            sample.set(model.name, (sample.get(model.name) ?? 0) + groupsTaken);
        }
        return sample;
    }

    /** Returns the groups that the requests refused since the last sample would have taken. */
    private sampleRefused(elapsed: number, now: number): ReadonlyMap<string, number> {
        const totals = new Map(this.work.totalsAt(now));
        const previous = this.previousTotals ?? totals;
        this.previousTotals = totals;
        const repetitions = this.work.refusalsPerRequest(now);
        return new Map(
            [...totals].map(([model, { refusedMilliseconds }]) => {
                const refused = refusedMilliseconds - (previous.get(model)?.refusedMilliseconds ?? 0);
                return [model, refused / repetitions / elapsed];
            }),
        );
    }
}

/** Returns the supply of a model that has `groups` groups. */
export function supplyOf(groups: number, averages: ModelAverages): ModelSupply {
    const { fast, steady, isPersistentlyShort } = averages;
    return {
        groups,
        groupsInUse: fast.inUse,
        groupsRefused: fast.refused,
        steadyGroupsInUse: steady.inUse,
        isPersistentlyShort,
    };
}
