/** Rendezvous hashing: each key has its own order of the candidates, of which little changes when candidates come and go. */

/** Orders candidates by their weights, the highest first; equal weights by the candidates themselves. */
export function rankByWeight(
    candidates: readonly string[],
    weightOf: (candidate: string) => number,
): readonly string[] {
    const weighted = candidates.map(candidate => ({ candidate, weight: weightOf(candidate) }));
    weighted.sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1));
    return weighted.map(entry => entry.candidate);
}
