/** Loads of weights onto the hosts of spares that are under way. */
import type { EngineModel } from "./engine-models.js";
import type { Candidate } from "./group-choices.js";

/** Factor on a load's usual time after which a staging counts as failed: loads may share the weight store. */
const stagingPatience = 2;

/** Time for which a host that turned a staging down is left alone, in milliseconds: a part of the shortest usual load. */
const refusedMilliseconds = 2_000;

interface Staging {
    /** Undefined if the host is busy with a load that this placer did not order. */
    readonly model: string | undefined;
    /** Local monotonic milliseconds at which it counts as failed. */
    readonly until: number;
}

export class SpareStagings {
    private readonly byId = new Map<string, Staging>();

    private constructor() {}

    public static create(): SpareStagings {
        return new SpareStagings();
    }

    public start(id: string, model: EngineModel, now: number): void {
        this.byId.set(id, { model: model.name, until: now + stagingPatience * model.loadMilliseconds });
    }

    /** The order was refused, or its answer lost: it has to be given again. */
    public fail(id: string): void {
        this.byId.delete(id);
    }

    /** The host is loading other weights: nothing is ordered there for a while. */
    public refuse(id: string, now: number): void {
        this.byId.set(id, { model: undefined, until: now + refusedMilliseconds });
    }

    /** Number of loads under way; `isIdle` tells whether an instance is still a spare. */
    public countUnderWay(isIdle: (id: string) => boolean, now: number): number {
        for (const [id, staging] of this.byId) {
            if (now >= staging.until || !isIdle(id)) {
                this.byId.delete(id);
            }
        }
        return this.byId.size;
    }

    /** A spare that is loading weights counts as holding them. */
    public complete(candidate: Candidate, now: number): Candidate {
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
