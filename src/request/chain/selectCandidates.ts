import type { RandomSource } from "../../process/randomSource.ts";
import type { ModelHolders } from "./modelHolders.ts";

/**
 * Selects the candidates of one choice.
 * @param holders - Holders of the model.
 * @param isUsable - Checks if the holder with the given index may be chosen.
 * @param random - Source of random numbers.
 * @returns Distinct indices of usable holders. If they leave a layer uncovered, the caller tries all usable holders.
 */
export type SelectCandidates = (
    holders: ModelHolders,
    isUsable: (holder: number) => boolean,
    random: RandomSource,
) => readonly number[];
