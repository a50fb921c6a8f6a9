/**
 * Registry of proofs: histories of concurrent runs under faults, each with a checker, and broken variants (mutants)
 * that the checker must catch. `npm run prove` runs them all.
 */
import { answersProof } from "./histories/answers.js";
import { claimsProof } from "./histories/claims.js";
import { meshProof } from "./histories/memberships.js";
import { placementsProof } from "./histories/placements.js";
import { scenarioProofs } from "./processes/process-proofs.js";

/** Options of one run. Equal options give equal histories. */
export interface ProofOptions {
    readonly seed: number;
    /** Histories of the unbroken system to run. */
    readonly histories: number;
}

/** One history that broke a promise. */
export interface ProofFailure {
    readonly seed: number;
    readonly message: string;
}

/** Whether a checker noticed one broken variant, and after how many histories. */
export interface MutantResult {
    readonly name: string;
    readonly caught: boolean;
    readonly histories: number;
    /** What the checker said. */
    readonly message?: string;
}

/** Result of one proof; it holds if `failures` is empty and every mutant was caught. */
export interface ProofResult {
    readonly histories: number;
    readonly failures: readonly ProofFailure[];
    readonly mutants: readonly MutantResult[];
    /** Counts that show what the histories provoked. */
    readonly counts: Readonly<Record<string, number>>;
}

/** One proof. */
export interface Proof {
    readonly name: string;
    readonly run: (options: ProofOptions) => Promise<ProofResult>;
}

/** Proofs over the decisions in virtual time; each part adds its own. */
export const proofs: readonly Proof[] = [answersProof, claimsProof, meshProof, placementsProof];

/** Proofs over real processes, run by `--processes`. */
export const processProofs: readonly Proof[] = scenarioProofs;

/** True if a proof found no failure and missed no mutant. */
export function holds(result: ProofResult): boolean {
    return result.failures.length === 0 && result.mutants.every(mutant => mutant.caught);
}
