/** Straggler detection by model: a replica is compared only with replicas of its own model. */
import type { ReferenceGapFunction } from "./straggler-detector.js";
import { StragglerDetector } from "./straggler-detector.js";

/** Straggler detectors of all models, created on first use. */
export class ModelPaces {
    private readonly models = new Map<string, StragglerDetector>();

    private constructor(private readonly referenceOf: ReferenceGapFunction | undefined) {}

    public static create(referenceOf?: ReferenceGapFunction): ModelPaces {
        return new ModelPaces(referenceOf);
    }

    public forModel(model: string): StragglerDetector {
        let paces = this.models.get(model);
        if (paces === undefined) {
            paces = StragglerDetector.create(this.referenceOf);
            this.models.set(model, paces);
        }
        return paces;
    }
}
