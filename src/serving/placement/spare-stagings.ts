/** Tracks the loads of weights in progress on the hosts of spares. */
import type { EngineModel } from "../engine-model.js";
import type { Candidate } from "./group-choices.js";

/** Multiple of a load's usual time after which a staging has failed; loads may share the weight store and take longer. */
const stagingTimeoutFactor = 2;

/** Time without orders for a host that refused a staging, in milliseconds: a fraction of the shortest usual load. */
const refusalBackoffMilliseconds = 2_000;

interface Staging {
    /** Model being loaded; undefined if this placer did not order the load. */
    readonly model: string | undefined;
    /** Local monotonic milliseconds at which the staging counts as failed. */
    readonly until: number;
}

export class SpareStagings {
    private readonly byId = new Map<string, Staging>();

    private constructor() {}

    public static create(): SpareStagings {
        return new SpareStagings();
    }

    public start(id: string, model: EngineModel, now: number): void {
        this.byId.set(id, { model: model.name, until: now + stagingTimeoutFactor * model.loadMilliseconds });
    }

    /** Removes a staging whose order failed or whose reply was lost, so that it can be ordered again. */
    public discard(id: string): void {
        this.byId.delete(id);
    }

    /** Marks a host as busy for a while because it refused a staging: it is loading other weights. */
    public markBusy(id: string, now: number): void {
        this.byId.set(id, { model: undefined, until: now + refusalBackoffMilliseconds });
    }

    /**
     * Drops the stagings that ended and counts the others; `mayLoad` tells whether an instance may still be loading a model, which
     * is undefined if this placer did not order the load.
     */
    public count(mayLoad: (id: string, model: string | undefined) => boolean, now: number): number {
        for (const [id, staging] of this.byId) {
            if (now >= staging.until || !mayLoad(id, staging.model)) {
                this.byId.delete(id);
            }
        }
        return this.byId.size;
    }

    /** Returns the model that an instance is loading by an order of this placer. */
    public modelLoading(id: string, now: number): string | undefined {
        const staging = this.byId.get(id);
        return staging !== undefined && now < staging.until ? staging.model : undefined;
    }

    /** Returns the candidate with the weights that it is loading counted as staged. */
    public withLoadingWeights(candidate: Candidate, now: number): Candidate {
        const staging = this.byId.get(candidate.id);
        if (staging === undefined || now >= staging.until) {
            this.byId.delete(candidate.id);
            return candidate;
        }
        const { model } = staging;
        if (model === undefined) {
            return { ...candidate, isBusy: true };
        }
        if (candidate.staged.includes(model)) {
            this.byId.delete(candidate.id);
            return candidate;
        }
        return { ...candidate, staged: [model], isBusy: true };
    }
}
