/** Proofs over real processes: one for each scenario. Falsified histories take the place of mutants. */
import type { Proof, ProofFailure, ProofOptions, ProofResult } from "../proofs.js";
import { checkHistory, countHistory, checkFalsifications } from "./process-checkers.js";
import { TestDeployment } from "./test-deployment.js";
import type { ProcessHistory } from "./process-history.js";
import type { Scenario } from "./scenarios.js";
import { scenarios } from "./scenarios.js";

const maximumShownProblems = 10;

/** Starts a deployment, runs one scenario on it and stops it. */
export async function runScenario(scenario: Scenario, seed: number): Promise<ProcessHistory> {
    const deployment = await TestDeployment.create({ seed, checksFencing: scenario.checksFencing });
    try {
        return await deployment.run(() => scenario.disturb(deployment), scenario.settleMilliseconds);
    } finally {
        await deployment.stop();
    }
}

function addCounts(sum: Record<string, number>, counts: Readonly<Record<string, number>>): void {
    for (const [name, count] of Object.entries(counts)) {
        sum[name] = (sum[name] ?? 0) + count;
    }
}

async function proveScenario(scenario: Scenario, options: ProofOptions): Promise<ProofResult> {
    const failures: ProofFailure[] = [];
    const counts: Record<string, number> = {};
    let history: ProcessHistory | undefined;
    for (let run = 0; run < options.histories; run += 1) {
        const seed = options.seed + run;
        history = await runScenario(scenario, seed);
        addCounts(counts, countHistory(history));
        const problems = checkHistory(history);
        addCounts(counts, { problems: problems.length });
        failures.push(...problems.slice(0, maximumShownProblems).map(message => ({ seed, message })));
    }
    const mutants = history === undefined || failures.length > 0 ? [] : checkFalsifications(history);
    return { histories: options.histories, failures, mutants, counts };
}

/** One proof for each scenario. */
export const scenarioProofs: readonly Proof[] = scenarios.map(scenario => ({
    name: scenario.name,
    run: options => proveScenario(scenario, options),
}));
