/** Proof of the mesh: randomized histories under faults, and mutants that the checker must catch. */
import fc from "fast-check";
import { configurationRules } from "../../src/core/configuration-rules.js";
import { parsePath } from "../../src/core/configuration-schemas.js";
import { evidenceRules } from "../../src/core/health-tables.js";
import { meshRules } from "../../src/core/membership-options.js";
import type { MeshRules } from "../../src/core/membership-options.js";
import { succeed } from "../../src/core/errors.js";
import { MeshWorld } from "../../benchmarks/mesh-worlds.js";
import type { Proof, ProofOptions } from "../proofs.js";
import { MeshChecker } from "./memberships-checkers.js";
import type { HistoryResult } from "./searches.js";
import { searchHistories, searchMutants } from "./searches.js";

const faultsEndAt = 30_000;
/** Maximum time until an accepted change is in force everywhere. */
const inForceMilliseconds = 13_000;
const leavingMilliseconds = 5_000;
const endAt = 75_000;
const paths = ["config/teams/anadolu/share", "config/teams/kelani/rank", "config/limits/retries"];
const texts = ["1", "2", "-4", "{", '{"fraction":0.2}', undefined];
const leavingEndpoint = "fd-0-engine-1";

const change = fc.record({
    at: fc.integer({ min: 0, max: faultsEndAt }),
    path: fc.constantFrom(...paths),
    text: fc.constantFrom(...texts),
    /** Milliseconds between an operator's read and swap, in which another operator may change the value. */
    hesitation: fc.integer({ min: 0, max: 2_000 }),
});

const softKinds = ["breakWatches", "silenceWatches"] as const;
const hardKinds = [
    "storeDown",
    "cutStore",
    "cutDomain",
    "pause",
    "kill",
    "restart",
    "endpointDeath",
    "endpointRestart",
] as const;

const fault = fc.record({
    at: fc.integer({ min: 0, max: faultsEndAt - 1_000 }),
    kind: fc.constantFrom(...softKinds, ...hardKinds),
    target: fc.nat({ max: 5 }),
    milliseconds: fc.integer({ min: 500, max: 25_000 }),
});

const scenario = fc.record({
    seed: fc.integer(),
    changes: fc.array(change, { minLength: 1, maxLength: 6 }),
    faults: fc.array(fault, { maxLength: 5 }),
    lossRate: fc.constantFrom(0, 0.05, 0.2),
    oldReadRate: fc.constantFrom(0, 0.3),
    lostAnswerRate: fc.constantFrom(0, 0.2),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;
type Fault = Scenario["faults"][number];

/** Rules of the mesh, or of a mutant. */
export interface MeshVariant {
    readonly rules: MeshRules;
    readonly readsAfterGap: boolean;
}

const unbroken: MeshVariant = { rules: meshRules, readsAfterGap: true };

function isSoft({ kind }: Fault): boolean {
    return (softKinds as readonly string[]).includes(kind);
}

function strike(world: MeshWorld, { kind, target, milliseconds }: Fault): void {
    const id = world.nodeIds[target % world.nodeIds.length]!;
    const node = world.nodes.get(id)!;
    const endpoint = [...world.endpoints.values()][target % world.endpoints.size]!;
    const end = Math.min(faultsEndAt, world.loop.now() + milliseconds);
    const until = (begin: () => void, finish: () => void) => {
        begin();
        world.loop.at(end, finish);
    };
    switch (kind) {
        case "breakWatches":
            return world.store.breakWatches();
        case "silenceWatches":
            return world.store.silenceWatches();
        case "storeDown":
            return until(
                () => {
                    world.store.isDown = true;
                    world.store.breakWatches();
                },
                () => (world.store.isDown = false),
            );
        case "cutStore":
            return until(
                () => world.cutStore(id),
                () => world.cutFromStore.delete(id),
            );
        case "cutDomain":
            return until(
                () => world.cutDomains.add(node.place.failureDomain),
                () => world.cutDomains.delete(node.place.failureDomain),
            );
        case "pause":
            return until(
                () => (node.isPaused = true),
                () => node.wake(),
            );
        case "kill":
            return node.die();
        case "restart":
            world.start(id);
            return;
        case "endpointDeath":
            endpoint.diedAt ??= world.loop.now();
            return;
        case "endpointRestart":
            return world.restartEndpoint(endpoint);
    }
}

function operate(
    world: MeshWorld,
    { path, text, hesitation }: Scenario["changes"][number],
    then: (revision: number) => void,
): void {
    const expected = world.store.revisionOf(path);
    world.loop.after(hesitation, () => {
        const revision = world.store.swap(path, text, expected);
        if (revision !== undefined) {
            then(revision);
        }
    });
}

async function runHistory(history: Scenario, variant: MeshVariant): Promise<HistoryResult> {
    const { rules, readsAfterGap } = variant;
    const { seed } = history;
    const world = MeshWorld.create({
        seed,
        failureDomains: 2,
        daemonsPerDomain: 2,
        endpointsPerDomain: 2,
        rules,
        readsAfterGap,
    });
    const { loop, store } = world;
    const checker = MeshChecker.create(world);
    const { lossRate } = world;
    world.lossRate = history.lossRate;
    store.oldReadRate = history.oldReadRate;
    store.lostAnswerRate = history.lostAnswerRate;
    const isSoftOnly = history.faults.every(isSoft) && history.lossRate <= 0.05;
    history.faults.forEach(each => loop.at(each.at, () => strike(world, each)));
    history.changes.forEach(each =>
        loop.at(each.at, () =>
            operate(world, each, revision => {
                if (isSoftOnly) {
                    loop.after(inForceMilliseconds, () => checker.expectInForce(revision));
                }
            }),
        ),
    );
    loop.every(3_000, () => store.touch());
    loop.at(faultsEndAt, () => {
        world.lossRate = lossRate;
        store.oldReadRate = 0;
        store.lostAnswerRate = 0;
        const last = store.latest;
        loop.after(inForceMilliseconds, () => checker.expectInForce(last));
    });
    loop.at(faultsEndAt + inForceMilliseconds, () => {
        operate(world, { at: 0, path: paths[0]!, text: "7", hesitation: 0 }, revision =>
            loop.after(inForceMilliseconds, () => checker.expectInForce(revision)),
        );
        const [first] = world.liveNodes;
        if (first !== undefined) {
            world.tellLeaving(leavingEndpoint, first);
            loop.after(leavingMilliseconds, () => checker.expectLeaving(leavingEndpoint));
        }
    });
    loop.runUntil(endAt);
    checker.expectAgreement();
    checker.expectMembers();
    checker.expectHealthy();
    return {
        problem: checker.problem,
        counts: {
            accepted: store.changes.length,
            conflicts: store.conflicts,
            reads: store.reads,
            hardFaults: history.faults.filter(each => !isSoft(each)).length,
            softFaults: history.faults.filter(isSoft).length,
            softOnly: isSoftOnly ? 1 : 0,
        },
    };
}

/** Runs histories of a mesh until one has a violation. */
export function searchMeshes(options: ProofOptions, variant: MeshVariant = unbroken) {
    return searchHistories(scenario, history => runHistory(history, variant), options);
}

function breakConfiguration(broken: Partial<typeof configurationRules>): MeshVariant {
    return { ...unbroken, rules: { ...meshRules, configuration: { ...configurationRules, ...broken } } };
}

function breakEvidence(broken: Partial<typeof evidenceRules>): MeshVariant {
    return { ...unbroken, rules: { ...meshRules, evidence: { ...evidenceRules, ...broken } } };
}

/** Broken variants of the mesh. */
export const meshMutants: Readonly<Record<string, MeshVariant>> = {
    olderRevisionApplied: breakConfiguration({ isOlder: () => false, isLater: () => true }),
    gapIgnored: { ...unbroken, readsAfterGap: false },
    tombstoneForgotten: breakConfiguration({ selectDeletions: () => [] }),
    invalidValueApplied: breakConfiguration({
        parse: (path, text) => succeed({ path: parsePath(path)!, value: text }),
    }),
    oldIncarnationAccepted: breakEvidence({ compare: (left, right) => left.sequence - right.sequence }),
    silenceTakenAsHealth: breakEvidence({ healthyUntil: () => Number.POSITIVE_INFINITY }),
};

/** Proof that nodes agree on configuration, members and health. */
export const meshProof: Proof = {
    name: "meshes",
    run: async options => {
        const { histories, failures, counts } = await searchMeshes(options);
        const mutants = await searchMutants(meshMutants, searchMeshes, options.seed);
        return { histories, failures, counts, mutants };
    },
};
