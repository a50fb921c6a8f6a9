import test from "ava";
import type { EndpointReport } from "../endpoints.js";
import { HealthTable, leavingExpiryMilliseconds, toEndpointRecord } from "../health-table.js";
import type { Instance } from "../instances.js";
import { MeshState } from "../mesh-state.js";
import { bridgesOf, neighboursOf, watchersOf } from "../mesh-topology.js";
import {
    deadTimeoutMilliseconds,
    memberExpiryMilliseconds,
    suspectTimeoutMilliseconds,
} from "../membership.js";
import { PlacementTable, UsageTable } from "../mesh-values.js";
import { ProbePlan, probersOf } from "../probe-plan.js";
import { createRandomGenerator } from "../random-numbers.js";

function report(sequence: number, incarnation = 1): EndpointReport {
    const load = { running: 0, waiting: 0, slots: 0 };
    return { instance: "e", incarnation, sequence, state: "idle", epoch: 0, leaving: false, load, warm: [] };
}

function mesh(id: string, now = 0, incarnation = 1, failureDomain = "fd-1"): MeshState {
    const body = { address: id, failureDomain, instance: id, role: "entry", state: "live" } as const;
    return MeshState.create({ id, body, incarnation, seeds: [], now, random: createRandomGenerator(1) });
}

/** Completes one exchange that `from` starts with `to`. */
function exchange(from: MeshState, to: MeshState, address: string, now: number): void {
    const request = from.begin(address, now);
    from.finishExchange(address, request, to.answer(request, now).answer, now);
}

function judged(state: MeshState, id: string, now: number): string | undefined {
    return state.members(now).find(member => member.id === id)?.judged;
}

/** Ticks a mesh every 500 milliseconds, as its daemon does, so that it detects no pause. */
function tickUntil(state: MeshState, from: number, to: number): void {
    for (let now = from; now <= to; now += 500) {
        state.tick(now);
    }
}

test("a silent member becomes suspect, then dead, then is removed, and returns with a new heartbeat", t => {
    const [a, b] = [mesh("a"), mesh("b")];
    exchange(a, b, "b", 0);
    t.is(judged(a, "b", 100), "live");
    tickUntil(a, 0, suspectTimeoutMilliseconds);
    t.is(judged(a, "b", suspectTimeoutMilliseconds), "suspect");
    tickUntil(a, suspectTimeoutMilliseconds, deadTimeoutMilliseconds);
    t.is(judged(a, "b", deadTimeoutMilliseconds), "dead");
    tickUntil(a, deadTimeoutMilliseconds, memberExpiryMilliseconds);
    t.is(judged(a, "b", memberExpiryMilliseconds), undefined);
    tickUntil(b, 0, memberExpiryMilliseconds);
    exchange(a, b, "b", memberExpiryMilliseconds);
    exchange(a, b, "b", memberExpiryMilliseconds);
    t.is(judged(a, "b", memberExpiryMilliseconds), "live");
});

test("an old heartbeat that is relayed late does not revive a member", t => {
    const [a, b, c] = [mesh("a"), mesh("b"), mesh("c")];
    exchange(b, c, "c", 0);
    tickUntil(b, 0, 20_000);
    exchange(a, b, "b", 20_000);
    t.not(judged(a, "c", 20_000), "live");
});

test("a restarted member replaces its earlier run, and raises its incarnation if its clock went back", t => {
    const a = mesh("a");
    exchange(mesh("b", 0, 50), a, "a", 0);
    const again = mesh("b", 1_000, 40);
    exchange(again, a, "a", 1_000);
    exchange(again, a, "a", 2_000);
    exchange(again, a, "a", 3_000);
    t.true((a.members(3_000).find(member => member.id === "b")?.incarnation ?? 0) > 50);
});

test("a message that waited during a pause counts as old as the pause", t => {
    const [awake, paused] = [mesh("a"), mesh("b")];
    awake.observeReport(report(1), 0);
    const request = awake.begin("b", 1_000);
    paused.tick(900);
    paused.answer(request, 12_000);
    t.true((paused.health("e")?.healthyUntil ?? 0) <= 12_000);
});

test("health is valid until its deadline, a failure invalidates it, and a later report restores it", t => {
    const table = HealthTable.create(() => 1);
    table.endpoints.accept(toEndpointRecord(report(5), "fd-1", 1_000), "a");
    t.is(table.health("e", 8_000)?.healthyUntil, 9_000);
    t.false(table.observeFailure("e", 900, 2_000, "a"), "it responded to another prober after that time");
    t.true(table.observeFailure("e", 1_100, 2_000, "a"));
    t.is(table.health("e", 8_000)?.healthyUntil, 2_000);
    t.false(
        table.endpoints.accept(toEndpointRecord(report(5), "fd-1", 2_100), "b"),
        "a report that is already known",
    );
    t.true(table.endpoints.accept(toEndpointRecord(report(6), "fd-1", 2_200), "b"));
    t.false(table.endpoints.accept(toEndpointRecord(report(9, 0), "fd-1", 2_300), "b"), "an old incarnation");
    t.is(table.health("e", 8_000)?.healthyUntil, 10_200);
});

test("leaving applies to one incarnation, even if announced before the endpoint is observed, and expires unless repeated", t => {
    const table = HealthTable.create(() => 1);
    table.acceptLeaving({ instance: "e", incarnation: 0, ageMilliseconds: 0 }, 0);
    table.endpoints.accept(toEndpointRecord(report(1, 3), "fd-1", 10), "a");
    t.true(table.isLeaving("e"));
    table.tick(20);
    table.endpoints.accept(toEndpointRecord(report(1, 4), "fd-1", 30), "a");
    t.false(table.isLeaving("e"));
    table.acceptLeaving({ instance: "f", incarnation: 0, ageMilliseconds: 0 }, 0);
    table.tick(leavingExpiryMilliseconds);
    t.false(table.isLeaving("f"));
});

test("usage of a later incarnation replaces earlier usage, and expires with its process", t => {
    const table = UsageTable.create(() => 1);
    const usage = { process: "p", home: "fd-1", incarnation: 2, sequence: 9, payload: "9", publishedAt: 0 };
    t.true(table.accept(usage, 0));
    t.false(table.accept({ ...usage, incarnation: 1, sequence: 50 }, 0));
    t.true(table.accept({ ...usage, incarnation: 3, sequence: 1 }, 0));
    t.true(table.tick(30_000));
    t.is(table.usages.length, 0);
});

test("the store revision orders placement values, and a deleted key stays deleted", t => {
    const table = PlacementTable.create(() => 1);
    const key = "placement/fabric-1";
    t.true(table.applySnapshot(10, [{ key, modRevision: 8, text: "a" }]));
    t.false(table.accept({ key, modRevision: 7, text: "old" }));
    t.true(table.applySnapshot(12, []));
    t.false(table.accept({ key, modRevision: 8, text: "a" }));
    t.false(table.accept({ key: "placement/fabric-2", modRevision: 9, text: "gone before 12" }));
    t.is(table.entries[0]?.text, undefined);
});

test("duties are assigned to two live members, and neighbours connect all members", t => {
    const members = Array.from({ length: 49 }, (_, index) => `m${index}`);
    t.is(watchersOf("fd-1", members).length, 2);
    t.is(bridgesOf("fd-1", "fd-2", members).length, 2);
    const reached = new Set(["m0"]);
    for (let round = 0; round < 49; round += 1) {
        members
            .filter(id => reached.has(id))
            .forEach(id => neighboursOf(id, members).forEach(next => reached.add(next)));
    }
    t.is(reached.size, 49);
    const instance: Instance = {
        id: "e",
        address: "e",
        failureDomain: "fd-1",
        fabricDomain: "f",
        role: "engine",
        state: "live",
    };
    const view = {
        self: "m0",
        failureDomain: "fd-1",
        instances: [instance],
        liveIn: () => members,
        liveAnywhere: () => members,
        health: () => undefined,
        healthMilliseconds: 8_000,
    };
    const probers = probersOf(instance, view);
    t.is(probers.length, 2);
    const plan = ProbePlan.create();
    const own = { ...view, self: probers[0]! };
    t.is(plan.takeDue(own, 0).length + plan.takeDue(own, 300).length, 1);
    t.is(plan.takeDue(own, 300).length, 0, "one probe at a time");
    t.is(plan.recordFailure("e", 300, 400), undefined);
    t.is(plan.takeDue(own, 800).length, 1);
    t.is(plan.recordFailure("e", 800, 900), 300, "two consecutive failures");
});
