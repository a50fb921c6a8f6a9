/** Converts the operators' configuration into the placement policy of one failure domain. */
import type { Configuration } from "../../core/configuration-values.js";
import type { FailureDomainId } from "../../core/failure-domains.js";
import type { Instance } from "../../core/instances.js";
import type { PlacementModel, PlacementPolicy } from "../../core/placement-policy.js";
import { placementPolicySchema } from "../../core/placement-policy.js";

/** Divides the engine instances of the failure domain among the models in proportion to their demand. */
export function createPlacementPolicy(
    configuration: Configuration,
    instances: readonly Instance[],
    failureDomain: FailureDomainId,
): PlacementPolicy {
    const { placement } = configuration;
    const engines = instances.filter(
        instance => instance.role === "engine" && instance.failureDomain === failureDomain,
    ).length;
    return placementPolicySchema.parse({
        models: createPlacementModels(configuration, engines),
        weights: placement.weights,
        healthMilliseconds: placement.healthMilliseconds,
        orderMilliseconds: placement.orderMilliseconds,
        enginesCheckFencing: placement.enginesCheckFencing,
        allowedPauseMilliseconds: placement.pauseMilliseconds,
        weightStoreLoadsAtOnce: placement.weightLoadsAtOnce,
        leaseSeconds: placement.leaseSeconds,
    });
}

function createPlacementModels(configuration: Configuration, engines: number): readonly PlacementModel[] {
    const models = [...configuration.models];
    const totalDemand = models.reduce((sum, [, model]) => sum + model.demand, 0);
    return models.map(([name, { version, instancesPerReplica, floor, demand }]) => {
        const instances = totalDemand === 0 ? 0 : (engines * demand) / totalDemand;
        return {
            model: name,
            version,
            instancesPerReplica,
            floor,
            demand: Math.max(floor, Math.floor(instances / instancesPerReplica)),
        };
    });
}
