import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Choices that are the same for the same seed. */
export class SeededRandom {
    private readonly generator: ReturnType<typeof xoroshiro128plus>;

    private constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** @param seed - An integer. */
    static create(seed: number): SeededRandom {
        return new SeededRandom(seed);
    }

    /** Chooses an integer from a range, both ends included. */
    chooseInteger(from: number, to: number): number {
        return uniformInt(this.generator, from, to);
    }

    /** Whether something happens that has a probability in [0, 1]. */
    isHit(probability: number): boolean {
        return uniformFloat64(this.generator) < probability;
    }

    /** Chooses one of some items; undefined where there are none. */
    choose<T>(items: readonly T[]): T | undefined {
        // A number is drawn in any case, so that the later choices do not depend on what there was to choose from.
        const drawn = this.chooseInteger(0, 0x7fff_ffff);
        return items[drawn % Math.max(1, items.length)];
    }
}
