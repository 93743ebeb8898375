import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Deterministic pseudorandom choices. */
export class SeededRandom {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    private constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @param seed - An integer. */
    static create(seed: number): SeededRandom {
        return new SeededRandom(seed);
    }

    /** Chooses an integer from a range, both bounds included. */
    chooseInteger(from: number, to: number): number {
        return uniformInt(this.generator, from, to);
    }

    /** Returns true with a probability in [0, 1]. */
    isHit(probability: number): boolean {
        return uniformFloat64(this.generator) < probability;
    }

    /** Chooses an item; undefined if there are none. */
    choose<T>(items: readonly T[]): T | undefined {
        // Always draws a number, so that later choices do not depend on the number of items.
        const drawn = this.chooseInteger(0, 0x7fff_ffff);
        return items[drawn % Math.max(1, items.length)];
    }
}
