/**
 * Divides the demand of a failure domain among its fabric domains. Placers apply one rule to the same inputs, so they
 * agree without messages. While their views differ, a disagreement affects the number of groups, but never safety.
 */
import type { FabricDomainId } from "./failure-domains.js";

/** A fabric domain and its number of usable instances. */
export interface FabricCapacity {
    readonly fabricDomain: FabricDomainId;
    readonly instances: number;
}

/**
 * Divides `total` groups, or as many as fit, among fabric domains in proportion to their capacity in groups, largest
 * remainders first.
 */
export function divideGroups(
    total: number,
    instancesPerReplica: number,
    capacities: readonly FabricCapacity[],
): ReadonlyMap<FabricDomainId, number> {
    const groupCapacities = capacities.map(each => Math.floor(each.instances / instancesPerReplica));
    const totalCapacity = groupCapacities.reduce((sum, each) => sum + each, 0);
    const placeable = Math.min(total, totalCapacity);
    const exact = groupCapacities.map(each => (totalCapacity === 0 ? 0 : (placeable * each) / totalCapacity));
    const whole = exact.map(Math.floor);
    const order = capacities.map((each, index) => ({
        index,
        remainder: (exact[index] ?? 0) - (whole[index] ?? 0),
        fabricDomain: each.fabricDomain,
    }));
    order.sort(
        (left, right) =>
            right.remainder - left.remainder || (left.fabricDomain < right.fabricDomain ? -1 : 1),
    );
    const missing = placeable - whole.reduce((sum, each) => sum + each, 0);
    const extra = new Set(order.slice(0, missing).map(each => each.index));
    return new Map(
        capacities.map((each, index) => [
            each.fabricDomain,
            (whole[index] ?? 0) + (extra.has(index) ? 1 : 0),
        ]),
    );
}
