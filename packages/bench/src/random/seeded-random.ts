import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a pseudorandom number generator that yields the same sequence for the same seed.
 *
 * @returns A function whose results are uniform in [0, 1).
 */
export function createSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
