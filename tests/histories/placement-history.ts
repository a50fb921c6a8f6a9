/** Runs one placement history: a simulation under a schedule of faults, a recovery period, and the checker. */
import { findBreaches } from "./placement-checker.js";
import type { Mutant, PlacementSimulationOptions } from "../../benchmarks/placement-simulation.js";
import { PlacementSimulation } from "../../benchmarks/placement-simulation.js";
import { placementPolicySchema } from "../../src/core/placement-policy.js";
import type { DecideRepair } from "../../src/core/repair-decision.js";
import { chooseCheapestRepair, rebuildImmediately, waitForRestart } from "../../src/core/repair-decision.js";

/** One fault of a schedule; `target` and `other` are reduced modulo the number of engines or processes. */
export interface ScheduledFault {
    readonly at: number;
    readonly kind: FaultKind;
    readonly target: number;
    readonly other: number;
    readonly milliseconds: number;
}

export const faultKinds = [
    "engineDies",
    "enginePauses",
    "engineLeaves",
    "domainDark",
    "placerPauses",
    "placerRestarts",
    "entryPauses",
    "linkCut",
    "placerCutFromEngines",
    "storeDown",
    "placerCutFromStore",
    "storeLosesCalls",
] as const;

export type FaultKind = (typeof faultKinds)[number];

/** Parameters of one generated history. */
export interface HistoryPlan {
    readonly seed: number;
    readonly enginesCheckFencing: boolean;
    readonly repair: number;
    readonly size: number;
    /** True if loads take hardly any time, so that only the placer's waits keep successive groups from overlapping. */
    readonly quickLoads: boolean;
    /** Probability that an order is delayed between the placer's lease check and its dispatch. */
    readonly heldUpChance: number;
    readonly faults: readonly ScheduledFault[];
}

/** Outcome of one history. */
export interface HistoryOutcome {
    readonly breaches: readonly string[];
    readonly accepted: number;
    /** Number of groups that accepted work in the last seconds of the recovery period, and the minimum number expected. */
    readonly groupsAtEnd: number;
    readonly groupsExpected: number;
    readonly groupsCreated: number;
}

const faultsEndAt = 60_000;
const recoveryEndsAt = 150_000;
const finalWindowMilliseconds = 10_000;
const repairs: readonly DecideRepair[] = [chooseCheapestRepair, rebuildImmediately, waitForRestart];

/** Runs a history from its plan. */
export function runHistory(plan: HistoryPlan, mutant: Mutant = "none"): HistoryOutcome {
    const simulation = PlacementSimulation.create(createOptions(plan, mutant));
    plan.faults.forEach(fault => simulation.loop.at(fault.at, () => applyFault(simulation, fault)));
    simulation.loop.every(7_000, () => simulation.announceInstances());
    simulation.loop.runUntil(faultsEndAt);
    endFaults(simulation);
    simulation.loop.runUntil(recoveryEndsAt);
    return evaluateHistory(simulation, plan);
}

function createOptions(plan: HistoryPlan, mutant: Mutant): PlacementSimulationOptions {
    const policy = placementPolicySchema.parse({
        models: [{ model: "draft", version: "1", instancesPerReplica: plan.size, floor: 1, demand: 2 }],
        weights: { groupDowntime: 4, strandedAccelerators: 1 },
        healthMilliseconds: 3_000,
        dispatchMilliseconds: 1_000,
        orderMilliseconds: 1_000,
        allowedPauseMilliseconds: 3_000,
        leaseSeconds: 5,
        leavingMilliseconds: 4_000,
        enginesCheckFencing: plan.enginesCheckFencing,
        weightStoreLoadsAtOnce: 3,
        repair: { restartMilliseconds: 8_000, pauseMilliseconds: 3_000, coldLoadMilliseconds: 1_000 },
    });
    return {
        seed: plan.seed,
        fabricDomains: 1,
        instancesPerFabricDomain: 2 * plan.size + 2,
        placers: 3,
        entries: 2,
        policy,
        decideRepair: repairs[plan.repair % repairs.length] ?? chooseCheapestRepair,
        mutant,
        coldLoadMilliseconds: plan.quickLoads ? 20 : 1_000,
        warmLoadMilliseconds: plan.quickLoads ? 5 : 50,
        loadsAtFullRate: 3,
        probeMilliseconds: 1_000,
        listLagMilliseconds: 5_000,
        placersProbe: true,
        heldUpChance: plan.heldUpChance,
    };
}

function pick<T>(values: readonly T[], target: number): T {
    return values[target % values.length]!;
}

function applyFault(simulation: PlacementSimulation, fault: ScheduledFault): void {
    const now = simulation.loop.now();
    const engines = [...simulation.engines.values()];
    const engine = pick(engines, fault.target);
    const placer = pick(simulation.placers, fault.target);
    const processes = [...simulation.placers, ...simulation.entries].map(process => process.id);
    switch (fault.kind) {
        case "engineDies":
            engine.die();
            simulation.loop.after(fault.milliseconds, () => engine.restart());
            return;
        case "enginePauses":
            engine.pause(fault.milliseconds);
            return;
        case "engineLeaves":
            if (!engines.some(each => each.leaving)) {
                engine.leave();
                simulation.announceInstances();
            }
            return;
        case "domainDark":
            engines.forEach(each => each.die());
            simulation.loop.after(fault.milliseconds, () => engines.forEach(each => each.restart()));
            return;
        case "placerPauses":
            placer.pause(fault.milliseconds);
            return;
        case "placerRestarts":
            placer.restart();
            return;
        case "entryPauses":
            pick(simulation.entries, fault.target).pause(fault.milliseconds);
            return;
        case "linkCut":
            simulation.cutUntil.set(
                `${pick(processes, fault.other)} ${engine.instance.id}`,
                now + fault.milliseconds,
            );
            return;
        case "placerCutFromEngines":
            simulation.cutUntil.set(`${placer.id} *`, now + fault.milliseconds);
            return;
        case "storeDown":
            simulation.store.downUntil = now + fault.milliseconds;
            return;
        case "placerCutFromStore":
            simulation.store.cutUntil.set(placer.id, now + fault.milliseconds);
            return;
        case "storeLosesCalls":
            simulation.store.faults = { requestLost: 0.15, answerLost: 0.2, effectLate: 0.1 };
            simulation.loop.after(fault.milliseconds, () => {
                simulation.store.faults = { requestLost: 0, answerLost: 0, effectLate: 0 };
            });
    }
}

function endFaults(simulation: PlacementSimulation): void {
    simulation.store.downUntil = 0;
    simulation.store.cutUntil.clear();
    simulation.store.faults = { requestLost: 0, answerLost: 0, effectLate: 0 };
    simulation.cutUntil.clear();
    simulation.heldUpChance = 0;
    [...simulation.engines.values()].filter(engine => !engine.isAlive).forEach(engine => engine.restart());
}

function evaluateHistory(simulation: PlacementSimulation, plan: HistoryPlan): HistoryOutcome {
    const { policy } = simulation.options;
    const breaches = findBreaches({
        engines: simulation.engines,
        accepted: simulation.accepted,
        faultyValues: simulation.faultyValues,
        terms: simulation.store.terms,
        healthMilliseconds: policy.healthMilliseconds,
        dispatchMilliseconds: policy.dispatchMilliseconds,
        enginesCheckEpochs: plan.enginesCheckFencing,
    });
    const recent = simulation.accepted.filter(work => work.at > recoveryEndsAt - finalWindowMilliseconds);
    const staying = [...simulation.engines.values()].filter(engine => !engine.leaving).length;
    return {
        breaches,
        accepted: simulation.accepted.length,
        groupsAtEnd: new Set(recent.map(work => work.group)).size,
        groupsExpected: Math.min(2, Math.floor(staying / plan.size)),
        groupsCreated: (simulation.placements.get("fabric-0")?.nextGroup ?? 1) - 1,
    };
}
