/**
 * Each fabric domain's part of a failure domain's demand. Placers compute it from the same inputs by the same rule, so
 * they agree without a message; a disagreement for as long as their views differ costs groups, never safety.
 */
import type { FabricDomainId } from "./failure-domains.js";

/** A fabric domain and how many instances of it can be used. */
export interface FabricCapacity {
    readonly fabricDomain: FabricDomainId;
    readonly instances: number;
}

/** Divides `total` groups over fabric domains in proportion to the groups that each can hold, largest remainder first. */
export function divideGroups(
    total: number,
    instancesPerReplica: number,
    capacities: readonly FabricCapacity[],
): ReadonlyMap<FabricDomainId, number> {
    const room = capacities.map(each => Math.floor(each.instances / instancesPerReplica));
    const allRoom = room.reduce((sum, each) => sum + each, 0);
    const wanted = Math.min(total, allRoom);
    const exact = room.map(each => (allRoom === 0 ? 0 : (wanted * each) / allRoom));
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
    const missing = wanted - whole.reduce((sum, each) => sum + each, 0);
    const extra = new Set(order.slice(0, missing).map(each => each.index));
    return new Map(
        capacities.map((each, index) => [
            each.fabricDomain,
            (whole[index] ?? 0) + (extra.has(index) ? 1 : 0),
        ]),
    );
}
