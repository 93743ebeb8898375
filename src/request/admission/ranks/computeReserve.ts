import type { RankDemand } from "./rankDemand.ts";

/** What is known when memory is reserved for higher ranks. */
interface ReserveInputs {
    /** Demand of the higher ranks at all nodes. */
    higherRanks: readonly Pick<RankDemand, "demand" | "admitted">[];
    /** Time for which a request holds its memory; undefined if unknown. */
    holdMilliseconds: number | undefined;
    /** Tokens for which the endpoints have memory, at the layers with the least. */
    capacityTokens: number;
}

/**
 * Demand that is expected beyond the measured one, as a fraction. The measured demand is up to 0.6 s old and follows a burst only
 * within its averaging time.
 */
const growthFraction = 0.25;
/** Maximum fraction that is reserved. Endpoints with more free memory than this take every request, so nothing changes at rest. */
const maximumReserveFraction = 0.4;
const secondMilliseconds = 1_000;

/**
 * Computes the fraction of each endpoint's memory that a request of a lower rank leaves free for higher ranks.
 *
 * It is designed for a burst of the last rank while endpoints are lost. Requests of higher ranks that are admitted at the rate at
 * which they arrive take over the memory that their predecessors release, and need only what their demand may grow by. As
 * soon as fewer are admitted than arrive, the memory that these need in the time for which a request holds it is reserved too.
 */
export function computeReserve({ higherRanks, holdMilliseconds, capacityTokens }: ReserveInputs): number {
    if (holdMilliseconds === undefined || capacityTokens <= 0) {
        return 0;
    }
    let missing = 0;
    for (const { demand, admitted } of higherRanks) {
        missing += Math.max(0, demand * (1 + growthFraction) - admitted);
    }
    return Math.min(maximumReserveFraction, missing * holdMilliseconds / secondMilliseconds / capacityTokens);
}
