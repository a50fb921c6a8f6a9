import test from "ava";
import { chooseGroupToDrain } from "../drains.js";
import type { FabricDomainState } from "../drains.js";
import type { PlacementPolicy } from "../placement-policy.js";
import { placementPolicySchema, takeoverMilliseconds } from "../placement-policy.js";
import { divideGroups } from "../group-shares.js";
import type { PlacedGroup } from "../fabric-placement.js";
import type { RepairContext } from "../repair-decision.js";
import {
    chooseCheapestRepair,
    rebuildImmediately,
    computeSpareReserve,
    waitForRestart,
} from "../repair-decision.js";

function policy(groupDowntime: number, strandedAccelerators: number): PlacementPolicy {
    return placementPolicySchema.parse({
        models: [{ model: "draft", version: "2", instancesPerReplica: 8, floor: 1, demand: 2 }],
        weights: { groupDowntime, strandedAccelerators },
        repair: { pauseChance: 0.95, pauseMilliseconds: 3_000, coldLoadMilliseconds: 60_000 },
    });
}

const lost: RepairContext = {
    instances: 8,
    silent: 1,
    lostWeights: 0,
    silentMilliseconds: 3_000,
    warmSpares: 0,
    coldSpares: 1,
    loadQueueMilliseconds: 0,
    canSurvivorsCompleteGroup: false,
};

test("waits while a silent member will probably return soon, and replaces it after a long silence", t => {
    t.is(chooseCheapestRepair(lost, policy(8, 1)), "wait");
    t.is(chooseCheapestRepair({ ...lost, silentMilliseconds: 60_000 }, policy(8, 1)), "coldSpare");
    const longLost = { ...lost, silentMilliseconds: 60_000 };
    t.is(chooseCheapestRepair({ ...longLost, warmSpares: 1 }, policy(8, 1)), "warmSpare");
    const rarePauses = { ...policy(8, 1), repair: { ...policy(8, 1).repair, pauseChance: 0.3 } };
    t.is(chooseCheapestRepair(lost, rarePauses), "coldSpare");
    t.is(chooseCheapestRepair({ ...lost, silent: 0, lostWeights: 1 }, policy(8, 1)), "coldSpare");
});

test("without spares, merges groups if the survivors of one complete the other", t => {
    const none = { ...lost, coldSpares: 0, silentMilliseconds: 60_000 };
    t.is(chooseCheapestRepair(none, policy(8, 1)), "wait");
    t.is(chooseCheapestRepair({ ...none, canSurvivorsCompleteGroup: true }, policy(8, 1)), "merge");
    t.is(rebuildImmediately(none, policy(8, 1)), "merge");
    t.is(waitForRestart({ ...none, canSurvivorsCompleteGroup: true }, policy(8, 1)), "wait");
});

test("reserves more spares the more downtime costs", t => {
    const frequent = (down: number, stranded: number): PlacementPolicy => {
        const base = policy(down, stranded);
        return { ...base, repair: { ...base.repair, instanceLossMilliseconds: 24 * 3_600_000 } };
    };
    t.true(computeSpareReserve(64, frequent(100, 1)) > computeSpareReserve(64, frequent(1, 10)));
    t.is(computeSpareReserve(64, frequent(0, 10)), 0);
});

test("divides groups in proportion to capacity and never exceeds the capacity", t => {
    const capacities = [
        { fabricDomain: "a", instances: 64 },
        { fabricDomain: "b", instances: 63 },
        { fabricDomain: "c", instances: 7 },
    ];
    t.deepEqual(
        [...divideGroups(10, 8, capacities)],
        [
            ["a", 5],
            ["b", 5],
            ["c", 0],
        ],
    );
    t.deepEqual(
        [...divideGroups(99, 8, capacities)],
        [
            ["a", 8],
            ["b", 7],
            ["c", 0],
        ],
    );
    t.deepEqual([...divideGroups(3, 8, [])], []);
});

test("a new lease holder waits if engines do not check epochs", t => {
    t.is(takeoverMilliseconds(policy(1, 1)), 0);
    t.is(takeoverMilliseconds({ ...policy(1, 1), enginesCheckFencing: false }), 10_000 + 2_000 + 5_000);
});

function group(id: string, version: string, state: PlacedGroup["state"] = "serving"): PlacedGroup {
    const model = { model: "draft", version };
    return { id, model, fabricDomain: "a", members: [id], epoch: 1, loadEpoch: 1, state };
}

test("rolls out a version one group at a time and never below the floor", t => {
    const situation: FabricDomainState = {
        groups: [group("1", "1"), group("2", "1")],
        models: policy(1, 1).models,
        share: () => ({ floor: 1, demand: 2 }),
        isOpen: () => true,
        running: each => (each.id === "1" ? 5 : 0),
        hasSparesFor: () => false,
    };
    t.is(chooseGroupToDrain(situation)?.id, "2");
    t.is(chooseGroupToDrain({ ...situation, share: () => ({ floor: 2, demand: 2 }) }), undefined);
    t.is(
        chooseGroupToDrain({ ...situation, groups: [group("1", "1"), group("2", "1", "draining")] }),
        undefined,
    );
    t.is(
        chooseGroupToDrain({ ...situation, groups: [group("1", "1"), group("2", "2", "loading")] }),
        undefined,
    );
    const covered = [group("1", "1"), group("2", "1"), group("3", "2")];
    t.is(
        chooseGroupToDrain({ ...situation, groups: covered, share: () => ({ floor: 2, demand: 2 }) })?.id,
        "2",
    );
    t.is(chooseGroupToDrain({ ...situation, models: [], groups: [group("1", "1")] })?.id, "1");
});
