/** Proof of the mesh: randomized histories under faults, and mutants that the checker must catch. */
import fc from "fast-check";
import { configurationRules } from "../../src/core/configuration-rules.js";
import { parsePath } from "../../src/core/configuration-schemas.js";
import { evidenceRules } from "../../src/core/health-table.js";
import { meshRules } from "../../src/core/mesh-state-options.js";
import type { MeshRules } from "../../src/core/mesh-state-options.js";
import { succeed } from "../../src/core/errors.js";
import { MeshSimulation } from "../../benchmarks/mesh-simulation.js";
import type { Proof, ProofOptions } from "../proofs.js";
import { MeshChecker } from "./mesh-checker.js";
import type { HistoryResult } from "./history-search.js";
import { searchHistories, searchMutants } from "./history-search.js";

const faultsEndAt = 30_000;
/** Maximum time until an accepted change is in force everywhere. */
const maximumPropagationMilliseconds = 13_000;
const maximumAnnouncementMilliseconds = 5_000;
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

const defaultVariant: MeshVariant = { rules: meshRules, readsAfterGap: true };

function isSoft({ kind }: Fault): boolean {
    return (softKinds as readonly string[]).includes(kind);
}

function applyFault(simulation: MeshSimulation, { kind, target, milliseconds }: Fault): void {
    const id = simulation.nodeIds[target % simulation.nodeIds.length]!;
    const node = simulation.nodes.get(id)!;
    const endpoint = [...simulation.endpoints.values()][target % simulation.endpoints.size]!;
    const end = Math.min(faultsEndAt, simulation.loop.now() + milliseconds);
    const until = (begin: () => void, finish: () => void) => {
        begin();
        simulation.loop.at(end, finish);
    };
    switch (kind) {
        case "breakWatches":
            return simulation.store.breakWatches();
        case "silenceWatches":
            return simulation.store.silenceWatches();
        case "storeDown":
            return until(
                () => {
                    simulation.store.isDown = true;
                    simulation.store.breakWatches();
                },
                () => (simulation.store.isDown = false),
            );
        case "cutStore":
            return until(
                () => simulation.cutStore(id),
                () => simulation.cutFromStore.delete(id),
            );
        case "cutDomain":
            return until(
                () => simulation.cutDomains.add(node.location.failureDomain),
                () => simulation.cutDomains.delete(node.location.failureDomain),
            );
        case "pause":
            return until(
                () => (node.isPaused = true),
                () => node.resume(),
            );
        case "kill":
            return node.die();
        case "restart":
            simulation.start(id);
            return;
        case "endpointDeath":
            endpoint.diedAt ??= simulation.loop.now();
            return;
        case "endpointRestart":
            return simulation.restartEndpoint(endpoint);
    }
}

function changeConfiguration(
    simulation: MeshSimulation,
    { path, text, hesitation }: Scenario["changes"][number],
    then: (revision: number) => void,
): void {
    const expected = simulation.store.revisionOf(path);
    simulation.loop.after(hesitation, () => {
        const revision = simulation.store.swap(path, text, expected);
        if (revision !== undefined) {
            then(revision);
        }
    });
}

async function runHistory(history: Scenario, variant: MeshVariant): Promise<HistoryResult> {
    const { rules, readsAfterGap } = variant;
    const { seed } = history;
    const simulation = MeshSimulation.create({
        seed,
        failureDomains: 2,
        daemonsPerDomain: 2,
        endpointsPerDomain: 2,
        rules,
        readsAfterGap,
    });
    const { loop, store } = simulation;
    const checker = MeshChecker.create(simulation);
    const { lossRate } = simulation;
    simulation.lossRate = history.lossRate;
    store.oldReadRate = history.oldReadRate;
    store.lostResponseRate = history.lostAnswerRate;
    const isSoftOnly = history.faults.every(isSoft) && history.lossRate <= 0.05;
    history.faults.forEach(each => loop.at(each.at, () => applyFault(simulation, each)));
    history.changes.forEach(each =>
        loop.at(each.at, () =>
            changeConfiguration(simulation, each, revision => {
                if (isSoftOnly) {
                    loop.after(maximumPropagationMilliseconds, () => checker.expectInForce(revision));
                }
            }),
        ),
    );
    loop.every(3_000, () => store.touch());
    loop.at(faultsEndAt, () => {
        simulation.lossRate = lossRate;
        store.oldReadRate = 0;
        store.lostResponseRate = 0;
        const last = store.latest;
        loop.after(maximumPropagationMilliseconds, () => checker.expectInForce(last));
    });
    loop.at(faultsEndAt + maximumPropagationMilliseconds, () => {
        changeConfiguration(simulation, { at: 0, path: paths[0]!, text: "7", hesitation: 0 }, revision =>
            loop.after(maximumPropagationMilliseconds, () => checker.expectInForce(revision)),
        );
        const [first] = simulation.liveNodes;
        if (first !== undefined) {
            simulation.announceLeaving(leavingEndpoint, first);
            loop.after(maximumAnnouncementMilliseconds, () => checker.expectLeaving(leavingEndpoint));
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
export function searchMeshes(options: ProofOptions, variant: MeshVariant = defaultVariant) {
    return searchHistories(scenario, history => runHistory(history, variant), options);
}

function mutateConfigurationRules(broken: Partial<typeof configurationRules>): MeshVariant {
    return {
        ...defaultVariant,
        rules: { ...meshRules, configuration: { ...configurationRules, ...broken } },
    };
}

function mutateEvidenceRules(broken: Partial<typeof evidenceRules>): MeshVariant {
    return { ...defaultVariant, rules: { ...meshRules, evidence: { ...evidenceRules, ...broken } } };
}

/** Broken variants of the mesh. */
export const meshMutants: Readonly<Record<string, MeshVariant>> = {
    olderRevisionApplied: mutateConfigurationRules({ isOlder: () => false, isLater: () => true }),
    gapIgnored: { ...defaultVariant, readsAfterGap: false },
    tombstoneForgotten: mutateConfigurationRules({ selectDeletions: () => [] }),
    invalidValueApplied: mutateConfigurationRules({
        parse: (path, text) => succeed({ path: parsePath(path)!, value: text }),
    }),
    oldIncarnationAccepted: mutateEvidenceRules({ compare: (left, right) => left.sequence - right.sequence }),
    silenceTakenAsHealth: mutateEvidenceRules({ healthyUntil: () => Number.POSITIVE_INFINITY }),
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
