/** Runs histories that fast-check generates until one fails, and broken variants until each is caught. */
import fc from "fast-check";
import type { MutantResult, ProofFailure, ProofOptions } from "../proofs.js";

const mutantHistories = 4_000;

/** Result of one history. */
export interface HistoryResult {
    readonly problem: string | undefined;
    readonly counts: Readonly<Record<string, number>>;
}

/** Result of a search. */
export interface SearchResult {
    readonly histories: number;
    readonly counts: Readonly<Record<string, number>>;
    readonly failures: readonly ProofFailure[];
    /** What the checker said of the first failure. */
    readonly problem: string;
}

/** Runs histories until one fails; the failure has the generated history. */
export async function searchHistories<History>(
    histories: fc.Arbitrary<History>,
    run: (history: History) => Promise<HistoryResult>,
    options: ProofOptions,
): Promise<SearchResult> {
    const counts: Record<string, number> = {};
    let count = 0;
    const property = fc.asyncProperty(histories, async history => {
        const result = await run(history);
        count += 1;
        for (const [name, value] of Object.entries(result.counts)) {
            counts[name] = (counts[name] ?? 0) + value;
        }
        if (result.problem !== undefined) {
            throw new Error(result.problem);
        }
    });
    const { seed, histories: numRuns } = options;
    const details = await fc.check(property, { seed, numRuns, endOnFailure: true });
    const problem = details.errorInstance instanceof Error ? details.errorInstance.message : "";
    const message = `${problem}: ${JSON.stringify(details.counterexample)}`;
    return { histories: count, counts, failures: details.failed ? [{ seed, message }] : [], problem };
}

/** Runs each broken variant until the checker notices it. */
export async function searchMutants<Rules>(
    mutants: Readonly<Record<string, Rules>>,
    search: (options: ProofOptions, rules: Rules) => Promise<SearchResult>,
    seed: number,
): Promise<readonly MutantResult[]> {
    const results: MutantResult[] = [];
    for (const [name, rules] of Object.entries(mutants)) {
        const found = await search({ seed, histories: mutantHistories }, rules);
        const caught = found.failures.length > 0;
        results.push({ name, caught, histories: found.histories, message: found.problem });
    }
    return results;
}
