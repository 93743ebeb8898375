import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "../../../src/process/randomSource.ts";

/** Creates a pseudo-random source that is the same for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 4_294_967_296;
}
