/** Generates plans of placement histories: random ones, and directed ones for rare interleavings. */
import fc from "fast-check";
import type { HistoryPlan, ScheduledFault } from "./placement-history.js";
import { faultKinds } from "./placement-history.js";

const fault: fc.Arbitrary<ScheduledFault> = fc.record({
    at: fc.integer({ min: 5_000, max: 55_000 }),
    kind: fc.constantFrom(...faultKinds),
    target: fc.nat({ max: 23 }),
    other: fc.nat({ max: 4 }),
    milliseconds: fc.integer({ min: 200, max: 30_000 }),
});

/** Random plans with up to twelve faults; in half of the plans the engines ignore epochs. */
export const historyPlan: fc.Arbitrary<HistoryPlan> = fc.record({
    seed: fc.nat({ max: 1_000_000 }),
    enginesCheckFencing: fc.boolean(),
    repair: fc.nat({ max: 2 }),
    size: fc.integer({ min: 2, max: 3 }),
    quickLoads: fc.boolean(),
    heldUpChance: fc.constantFrom(0, 0.05, 0.5),
    faults: fc.array(fault, { minLength: 1, maxLength: 12 }),
});

function cut(at: number, target: number, other: number): ScheduledFault {
    return { at, kind: "linkCut", target, other, milliseconds: 20_000 };
}

/**
 * A leader that no placer can reach keeps serving its old group for one entry instance. This entry instance cannot see
 * that the group's other member was released, and another group gets that member.
 */
export function unreachableLeaderPlan(seed: number): HistoryPlan {
    const faults: readonly ScheduledFault[] = [
        { at: 29_500, kind: "engineDies", target: 3, other: 0, milliseconds: 25_000 },
        cut(30_000, 0, 0),
        cut(30_000, 0, 1),
        cut(30_000, 0, 2),
        cut(32_400, 1, 3),
    ];
    const kind = { enginesCheckFencing: true, repair: 1, size: 2, quickLoads: true, heldUpChance: 0.05 };
    return { seed, ...kind, faults };
}

/**
 * A placer whose lease is about to expire releases engines that resume after a pause. Its orders are delayed, while the
 * next lease holder sends orders to the same engines. The engines do not check epochs.
 */
export function heldUpOrdersPlan(seed: number): HistoryPlan {
    const pauses = [0, 1, 2, 3].map((target): ScheduledFault => {
        return { at: 22_000, kind: "enginePauses", target, other: 0, milliseconds: 10_500 + target * 500 };
    });
    const faults: readonly ScheduledFault[] = [
        ...pauses,
        { at: 29_500, kind: "placerCutFromStore", target: 0, other: 0, milliseconds: 20_000 },
    ];
    const kind = { enginesCheckFencing: false, repair: 1, size: 2, quickLoads: true, heldUpChance: 0.5 };
    return { seed, ...kind, faults };
}
