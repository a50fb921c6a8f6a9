import test from "ava";
import type { Candidate, DomainSituation } from "../group-choices.js";
import { chooseGroup, chooseStaging } from "../group-choices.js";
import { profile } from "./fake-engines.js";

const { models } = profile;

function candidates(...staged: readonly (readonly string[])[]): readonly Candidate[] {
    return staged.map((each, index) => ({ id: `i-${index}`, lastModel: undefined, staged: each }));
}

const situation: DomainSituation = {
    models,
    instances: 8,
    groups: new Map(),
    free: [],
    freeSoon: new Map(),
    isSettling: false,
    groupsOverall: new Map(),
};

test("members that hold the weights are chosen before those that would load them", t => {
    const free = candidates([], ["small"], ["large"], ["large"], [], ["large"], ["large"]);
    const choice = chooseGroup({ ...situation, free });
    t.is(choice?.model.name, "large");
    t.is(choice?.loads, 0);
    t.deepEqual([...(choice?.members ?? [])].sort(), ["i-2", "i-3", "i-5", "i-6"]);
});

test("a load waits while members with the weights will be free soon", t => {
    const free = candidates(["large"], ["large"], ["large"], ["small"]);
    t.is(chooseGroup({ ...situation, free })?.loads, 1);
    const waiting = chooseGroup({ ...situation, free, freeSoon: new Map([["large", 1]]) });
    t.not(waiting?.model.name, "large");
    t.not(chooseGroup({ ...situation, free, isSettling: true })?.model.name, "large");
});

test("a part of the instances stays free once each model has a group", t => {
    const groups = new Map([
        ["large", 1],
        ["small", 1],
    ]);
    t.is(chooseGroup({ ...situation, groups, free: candidates([], []) }), undefined);
    const many = candidates([], [], [], [], [], [], []);
    t.truthy(chooseGroup({ ...situation, instances: 13, groups, free: many }));
});

test("spares hold the larger model first, then the next", t => {
    t.is(chooseStaging(models, candidates([], []))?.model.name, "large");
    t.deepEqual(chooseStaging(models, candidates(["large"], [])), { id: "i-1", model: models[1]! });
    t.is(chooseStaging(models, candidates(["large"], ["small"])), undefined);
    t.deepEqual(chooseStaging(models, candidates(["large"], ["large"])), { id: "i-1", model: models[1]! });
    t.deepEqual(chooseStaging(models, candidates(["small"])), { id: "i-0", model: models[0]! });
});
