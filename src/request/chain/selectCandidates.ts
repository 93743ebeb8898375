import type { RandomSource } from "../../process/randomSource.ts";
import type { ModelHolders } from "./modelHolders.ts";

/**
 * Selects the holders that one decision weighs.
 * @param holders - Holders of the model.
 * @param isUsable - Tells by a holder's index whether it may be chosen.
 * @param random - Source of the draws.
 * @returns Indices of usable holders, without repeats. Where they leave a layer uncovered, all usable ones are weighed.
 */
export type SelectCandidates = (
    holders: ModelHolders,
    isUsable: (holder: number) => boolean,
    random: RandomSource,
) => readonly number[];
