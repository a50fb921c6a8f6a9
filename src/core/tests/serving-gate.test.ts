import test from "ava";
import type { EndpointHealth, EndpointReport } from "../endpoints.js";
import {
    createFabricPlacement,
    formatFabricPlacement,
    safeParseFabricPlacement,
} from "../fabric-placement.js";
import type { PlacedGroup } from "../fabric-placement.js";
import { checkServingGate } from "../serving-gate.js";

const group: PlacedGroup = {
    id: "fabric-1/1",
    model: { model: "draft", version: "1" },
    fabricDomain: "fabric-1",
    members: ["engine-1", "engine-2"],
    epoch: 7,
    loadEpoch: 6,
    state: "serving",
};

function report(instance: string, change: Partial<EndpointReport> = {}): EndpointReport {
    return {
        instance,
        incarnation: 1,
        sequence: 1,
        state: "serving",
        group: group.id,
        epoch: 7,
        leaving: false,
        load: { running: 0, waiting: 0, slots: 8 },
        warm: [],
        ...change,
    };
}

function reasonFor(change: Partial<EndpointReport>, healthyUntil = 100, leaving = false): string {
    const health = new Map<string, EndpointHealth>([
        ["engine-1", { report: report("engine-1"), healthyUntil: 100 }],
        ["engine-2", { report: report("engine-2", change), healthyUntil }],
    ]);
    const view = {
        healthOf: (instance: string) => health.get(instance),
        isLeaving: (instance: string) => leaving && instance === "engine-2",
    };
    const decision = checkServingGate(group, view, 50);
    return decision.open ? "open" : `${decision.reason} ${decision.instance}`;
}

test("the gate is open only while every member reports that it serves this group and epoch", t => {
    t.is(reasonFor({}), "open");
    t.is(reasonFor({}, 50), "memberSilent engine-2");
    t.is(reasonFor({}, 100, true), "memberLeaving engine-2");
    t.is(reasonFor({ leaving: true }), "memberLeaving engine-2");
    t.is(reasonFor({ group: "fabric-1/2" }), "memberInOtherGroup engine-2");
    t.is(reasonFor({ epoch: 6 }), "memberOnOtherEpoch engine-2");
    t.is(reasonFor({ state: "draining" }), "memberNotServing engine-2");
});

test("the gate is closed for an unknown member and for a group in another state", t => {
    const view = { healthOf: () => undefined, isLeaving: () => false };
    const unknown = checkServingGate(group, view, 0);
    t.deepEqual(unknown, { open: false, reason: "memberUnknown", instance: "engine-1" });
    t.false(checkServingGate({ ...group, state: "loading" }, view, 0).open);
    t.false(checkServingGate({ ...group, members: [] }, view, 0).open);
});

test("a placement survives formatting and parsing, and one that names an instance twice is rejected", t => {
    const placement = { ...createFabricPlacement("fabric-1"), epoch: 7, groups: [group] };
    const read = safeParseFabricPlacement(formatFabricPlacement(placement));
    t.deepEqual(read, { success: true, data: placement });
    const twice = formatFabricPlacement({ ...placement, spares: ["engine-2"] });
    t.false(safeParseFabricPlacement(twice).success);
    t.false(safeParseFabricPlacement(formatFabricPlacement({ ...placement, epoch: 6 })).success);
    t.false(safeParseFabricPlacement("{").success);
});
