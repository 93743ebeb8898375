import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "../../src/process/randomSource.ts";

/** Creates a random source from a seed. */
export function createRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
