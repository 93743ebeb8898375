import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomSource } from "../../src/process/randomSource.ts";

/** Spreads consecutive seeds over the 32-bit range: about 2^32 divided by the golden ratio. */
const seedMultiplier = 0x9e3779b1;
/** Number of skipped values at the start of a sequence, which are similar for similar seeds. */
const skippedNumbers = 16;

/** Creates a pseudo-random source. The same seed gives the same sequence. */
export function createSeededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(Math.imul(seed + 1, seedMultiplier));
    for (let skipped = 0; skipped < skippedNumbers; skipped++) {
        generator.next();
    }
    return () => (generator.next() >>> 0) / 4_294_967_296;
}
