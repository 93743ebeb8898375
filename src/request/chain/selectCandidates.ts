import type { RandomSource } from "../../process/randomSource.ts";
import type { ModelHolders } from "./modelHolders.ts";

/**
 * Selects the holders that one decision weighs.
 * @param holders - Holders of the model.
 * @param usable - Indices of the holders that may be chosen, ascending.
 * @param random - Source of the draws.
 * @returns Indices out of `usable`, without repeats. Where they leave a layer uncovered, all usable ones are weighed.
 */
export type SelectCandidates = (
    holders: ModelHolders,
    usable: readonly number[],
    random: RandomSource,
) => readonly number[];
