/** Chooses the instance to which a service call is sent. */
import type { Clock } from "../../contracts/clocks.js";
import type { FailureDomainId } from "../../core/failure-domains.js";
import { hashNumber } from "../../core/hashes.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { ServiceCall } from "../../core/requests.js";
import { isHealthy } from "../../core/serving-gate.js";
import type { SystemView } from "../system-view.js";

/**
 * Returns the function that chooses a healthy instance which has not been tried, preferring those of `failureDomain`;
 * it returns undefined if there is none.
 */
export function createServiceRouter(
    view: SystemView,
    clock: Clock,
    failureDomain: FailureDomainId,
): (call: ServiceCall, tried: readonly InstanceId[]) => Instance | undefined {
    return (call, tried) => {
        const now = clock.monotonicMilliseconds();
        const usable = view
            .instances()
            .filter(
                instance =>
                    instance.role === "service" &&
                    instance.service === call.service &&
                    !tried.includes(instance.id) &&
                    !view.isLeaving(instance.id) &&
                    isHealthy(view.healthOf(instance.id), now) &&
                    view.healthOf(instance.id)?.report.leaving !== true,
            );
        const local = usable.filter(instance => instance.failureDomain === failureDomain);
        const candidates = local.length > 0 ? local : usable;
        return candidates[hashNumber(call.id) % Math.max(1, candidates.length)];
    };
}
