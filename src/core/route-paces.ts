/** Straggler detection by model: a replica is compared only with replicas of its own model. */
import type { PaceReference } from "./stragglers.js";
import { Stragglers } from "./stragglers.js";

/** Straggler detectors of all models, created on first use. */
export class ModelPaces {
    private readonly models = new Map<string, Stragglers>();

    private constructor(private readonly referenceOf: PaceReference | undefined) {}

    public static create(referenceOf?: PaceReference): ModelPaces {
        return new ModelPaces(referenceOf);
    }

    public of(model: string): Stragglers {
        let paces = this.models.get(model);
        if (paces === undefined) {
            paces = Stragglers.create(this.referenceOf);
            this.models.set(model, paces);
        }
        return paces;
    }
}
