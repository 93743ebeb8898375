import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "../../src/process/randomSource.ts";

/** Spreads neighbouring seeds: the golden ratio times two to the 32nd. */
const seedMultiplier = 0x9e3779b1;
/** First numbers of a sequence, which are alike for like seeds. */
const skippedNumbers = 16;

/** Creates a pseudo-random source that is the same for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(Math.imul(seed + 1, seedMultiplier));
    for (let skipped = 0; skipped < skippedNumbers; skipped++) {
        generator.next();
    }
    return () => (generator.next() >>> 0) / 4_294_967_296;
}
