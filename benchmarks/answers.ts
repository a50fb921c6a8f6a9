/**
 * Streamed answers while engines die and stall, links lose, delay and duplicate events, and entry instances die. The
 * baseline passes each stream on unchecked and does not resume after a loss.
 */
import { AnswerSimulation, checkReceivedAnswer } from "../tests/histories/answer-simulation.js";
import type { AnswerRules } from "../src/core/answer-options.js";
import { answerRules } from "../src/core/answer-options.js";
import { createRandomGenerator, randomInteger } from "../src/core/random-numbers.js";
import type { ExperimentReport } from "./experiment.js";
import { Times } from "./fakes/figures.js";

const answerCount = 2_000;
const tokens = 60;
const faultRate = 0.02;
const remaining = 30_000;
const faultsEndAt = 4_000;

const unprotectedRules: AnswerRules = {
    ...answerRules,
    isDelivered: () => false,
    isNext: () => true,
    isComplete: () => true,
};

interface Counts {
    whole: number;
    broken: number;
    explicitFaults: number;
}

function runAnswer(seed: number, isProtected: boolean): AnswerSimulation {
    const random = createRandomGenerator(seed);
    const simulation = AnswerSimulation.create({
        seed,
        tokens,
        faultRate,
        takeMilliseconds: 1,
        keepsText: true,
        remaining,
        rules: isProtected ? answerRules : unprotectedRules,
        answer: isProtected ? undefined : { maximumLossesAfterStart: 0, mayRetry: () => false },
    });
    const at = randomInteger(0, 1_500, random);
    const engine = simulation.engines[0]!;
    const losses = [
        () => engine.crash(1_000),
        () => engine.stall(),
        () => simulation.killEntry(),
        () => simulation.engines.forEach(each => each.crash(500)),
        () => undefined,
    ];
    simulation.loop.at(at, losses[seed % losses.length]!);
    simulation.loop.runUntil(faultsEndAt);
    simulation.isCalm = true;
    simulation.loop.runUntil(remaining + 1_000);
    return simulation;
}

function countAnswers(seed: number, isProtected: boolean) {
    const counts: Counts = { whole: 0, broken: 0, explicitFaults: 0 };
    const duration = Times.create();
    let starts = 0;
    for (let count = 0; count < answerCount; count += 1) {
        const simulation = runAnswer(seed * answerCount + count, isProtected);
        starts += simulation.engines.reduce((sum, engine) => sum + engine.starts, 0);
        if (checkReceivedAnswer(simulation, tokens) !== undefined) {
            counts.broken += 1;
        } else if (simulation.ends[0]?.kind === "finished") {
            counts.whole += 1;
            duration.add(simulation.endedAt);
        } else {
            counts.explicitFaults += 1;
        }
    }
    return {
        answers: answerCount,
        ...counts,
        engineStartsPerAnswer: starts / answerCount,
        p50Milliseconds: duration.percentile(50),
        p99Milliseconds: duration.percentile(99),
    };
}

/** Measures how many answers are delivered whole. */
export function answers(seed: number): ExperimentReport {
    const measured = countAnswers(seed, true);
    return {
        experiment: "answers",
        seed,
        target: { broken: 0, explicitFaults: 0 },
        measured,
        baseline: countAnswers(seed, false),
        holds: measured.broken === 0 && measured.explicitFaults === 0,
    };
}
