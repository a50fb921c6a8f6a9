/** Proof of placement: random histories, two directed families of histories, and mutants that the checker must catch. */
import fc from "fast-check";
import type { Mutant } from "../../benchmarks/placement-simulation.js";
import type { MutantResult, Proof, ProofFailure, ProofOptions, ProofResult } from "../proofs.js";
import { heldUpOrdersPlan, historyPlan, unreachableLeaderPlan } from "./placement-plans.js";
import type { HistoryOutcome, HistoryPlan } from "./placement-history.js";
import { runHistory } from "./placement-history.js";

type MakePlan = (seed: number) => HistoryPlan;

/** One history in this many is taken from the families in turn, the others from the random family. */
const directedHistoryInterval = 10;
/** Maximum number of histories within which a mutant must be caught. */
const maximumMutantHistories = 400;

const makeRandomPlan: MakePlan = seed => fc.sample(historyPlan, { numRuns: 1, seed })[0]!;

const mutants: readonly (readonly [Mutant, MakePlan])[] = [
    ["gateSkipped", makeRandomPlan],
    ["leaseUnchecked", makeRandomPlan],
    ["oldEpochAccepted", makeRandomPlan],
    ["takeoverWaitSkipped", heldUpOrdersPlan],
    ["movedWithoutRelease", makeRandomPlan],
    ["settleSkipped", unreachableLeaderPlan],
];

/** Histories of several placers, engines and entries. Fails on a breach, or if too few groups serve after recovery. */
export const placementsProof: Proof = { name: "placements", run: runProof };

async function runProof(options: ProofOptions): Promise<ProofResult> {
    const failures: ProofFailure[] = [];
    const counts = { acceptedWork: 0, groupsCreated: 0 };
    const families: MakePlan[] = [makeRandomPlan, unreachableLeaderPlan, heldUpOrdersPlan];
    for (let index = 0; index < options.histories; index += 1) {
        const seed = options.seed * 1_000_000 + index;
        const family =
            index % directedHistoryInterval === 0 ? (index / directedHistoryInterval) % families.length : 0;
        const outcome = runHistory(families[family]!(seed));
        counts.acceptedWork += outcome.accepted;
        counts.groupsCreated += outcome.groupsCreated;
        const message = describeFailure(outcome);
        if (message !== undefined) {
            failures.push({ seed, message: `family ${family}: ${message}` });
        }
    }
    const found = mutants.map(([mutant, make]) => runMutant(mutant, make, options.seed));
    return { histories: options.histories, failures, mutants: found, counts };
}

function describeFailure(outcome: HistoryOutcome): string | undefined {
    if (outcome.breaches.length > 0) {
        return outcome.breaches[0];
    }
    const hasTooFewGroups = outcome.groupsAtEnd < outcome.groupsExpected;
    return hasTooFewGroups
        ? `${outcome.groupsAtEnd} of ${outcome.groupsExpected} groups serve after recovery`
        : undefined;
}

function runMutant(mutant: Mutant, make: MakePlan, seed: number): MutantResult {
    for (let index = 0; index < maximumMutantHistories; index += 1) {
        const [message] = runHistory(make(seed * 1_000_000 + index), mutant).breaches;
        if (message !== undefined) {
            return { name: mutant, caught: true, histories: index + 1, message };
        }
    }
    return { name: mutant, caught: false, histories: maximumMutantHistories };
}
