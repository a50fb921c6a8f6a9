/** Seeded random numbers. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a generator of uniform numbers in [0, 1); its sequence depends only on the seed. */
export function createRandomGenerator(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** Returns a uniform integer from `low` to `high`, both inclusive. */
export function randomInteger(low: number, high: number, random: () => number): number {
    return low + Math.floor(random() * (high - low + 1));
}

/** Returns an exponentially distributed number with the given mean. */
export function randomExponential(mean: number, random: () => number): number {
    return -mean * Math.log(1 - random());
}
