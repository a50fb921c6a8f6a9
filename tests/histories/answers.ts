/** Proof of streamed answers: randomized histories under faults, and mutants that the checker must catch. */
import fc from "fast-check";
import type { AnswerRules } from "../../src/core/answer-options.js";
import { answerRules } from "../../src/core/answer-options.js";
import type { Proof, ProofOptions } from "../proofs.js";
import { AnswerSimulation, checkReceivedAnswer } from "./answer-simulation.js";
import type { HistoryResult } from "./history-search.js";
import { searchHistories, searchMutants } from "./history-search.js";

const faultsEndAt = 4_000;
const timeoutMilliseconds = 20_000;
const settleMilliseconds = 1_000;

const disturbance = fc.record({
    at: fc.integer({ min: 0, max: 2_500 }),
    kind: fc.constantFrom("engineDeath", "allEnginesDeath", "stall", "entryDeath"),
    engine: fc.nat({ max: 2 }),
    milliseconds: fc.integer({ min: 10, max: 2_000 }),
});

const scenario = fc.record({
    seed: fc.integer(),
    tokens: fc.integer({ min: 0, max: 40 }),
    faultRate: fc.constantFrom(0, 0.02, 0.1, 0.25),
    takeMilliseconds: fc.constantFrom(0, 5, 40),
    keepsText: fc.boolean(),
    disturbances: fc.array(disturbance, { maxLength: 4 }),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

function disturb(simulation: AnswerSimulation, change: Scenario["disturbances"][number]): void {
    const { kind, engine, milliseconds } = change;
    switch (kind) {
        case "engineDeath":
            return simulation.engines[engine]!.crash(milliseconds);
        case "allEnginesDeath":
            return simulation.engines.forEach(each => each.crash(milliseconds));
        case "stall":
            return simulation.engines[engine]!.stall();
        case "entryDeath":
            return simulation.killEntry();
    }
}

async function runHistory(history: Scenario, rules: AnswerRules): Promise<HistoryResult> {
    const simulation = AnswerSimulation.create({ ...history, remaining: timeoutMilliseconds, rules });
    for (const change of history.disturbances) {
        simulation.loop.at(change.at, () => disturb(simulation, change));
    }
    simulation.loop.runUntil(faultsEndAt);
    simulation.isCalm = true;
    simulation.loop.runUntil(timeoutMilliseconds + settleMilliseconds);
    const hadFaults = history.faultRate > 0 || history.disturbances.length > 0;
    const [end] = simulation.ends;
    const unexplained = end?.kind === "failed" && !hadFaults ? `failed: ${end.fault.message}` : undefined;
    const isFinished = end?.kind === "finished";
    return {
        problem: checkReceivedAnswer(simulation, history.tokens) ?? unexplained,
        counts: {
            finished: isFinished ? 1 : 0,
            failedWithText: end?.kind === "failed" && history.keepsText ? 1 : 0,
            failedWithoutText: end?.kind === "failed" && !history.keepsText ? 1 : 0,
            entryDeaths: simulation.entryDeaths,
            engineStarts: simulation.engines.reduce((sum, { starts }) => sum + starts, 0),
        },
    };
}

/** Runs histories of streamed answers until one has a violation. */
export function searchAnswers(options: ProofOptions, rules: AnswerRules = answerRules) {
    return searchHistories(scenario, history => runHistory(history, rules), options);
}

/** Broken variants of the rules. */
export const answerMutants: Readonly<Record<string, AnswerRules>> = {
    gapSkipped: { ...answerRules, isNext: (offset, next) => offset >= next },
    doubledTokenDelivered: {
        ...answerRules,
        isDelivered: () => false,
        isNext: (offset, next) => offset <= next,
    },
    foreignEventDelivered: {
        ...answerRules,
        isCurrentAttempt: (expected, event) => event.attempt === expected.attempt,
    },
    olderAttemptDelivered: {
        ...answerRules,
        isCurrentAttempt: (expected, event) => event.request === expected.request,
    },
    finishedBeforeGap: { ...answerRules, isComplete: () => true },
    silentEnd: { ...answerRules, toCallerFault: () => undefined },
};

/** Proof that an answer is complete and in order, or ends in an explicit fault. */
export const answersProof: Proof = {
    name: "answers",
    run: async options => {
        const { histories, failures, counts } = await searchAnswers(options);
        const mutants = await searchMutants(answerMutants, searchAnswers, options.seed);
        return { histories, failures, counts, mutants };
    },
};
