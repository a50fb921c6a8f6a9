/** Paces of replicas by model: replicas are compared with those of the same model only. */
import type { PaceReference } from "./stragglers.js";
import { Stragglers } from "./stragglers.js";

/** Paces of all models. */
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
