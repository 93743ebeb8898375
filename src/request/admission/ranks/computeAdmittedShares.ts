import type { RankDemand } from "./rankDemand.ts";
import { rankFloorFraction } from "./rankFloorFraction.ts";

/**
 * Computes the fraction of its demand that each rank is admitted with, 0.05 to 1, by waterfilling: higher ranks go first, and lower
 * ones get what is left.
 *
 * It is designed for a burst of the last rank while endpoints are lost, on many nodes that compute the same shares from the same
 * reports.
 * @param demands - Demand of each rank at all nodes, the rank that goes first first.
 * @param capacity - What all nodes together can serve on time, in tokens a second.
 */
export function computeAdmittedShares(
    demands: readonly Pick<RankDemand, "demand">[],
    capacity: number,
): number[] {
    // The floors of the lower ranks are set aside first, so that all ranks together don't exceed the capacity.
    let reserved = demands.reduce((sum, { demand }) => sum + demand * rankFloorFraction, 0);
    let left = capacity;
    return demands.map(({ demand }) => {
        reserved -= demand * rankFloorFraction;
        const share = demand > 0 ? Math.min(1, Math.max(rankFloorFraction, (left - reserved) / demand)) : 1;
        left -= share * demand;
        return share;
    });
}
