import type { RandomSource } from "../../../process/randomSource.ts";
import { chooseStages } from "./chooseStages.ts";
import type { RelayStage } from "./relayStage.ts";
import type { StageCandidate } from "./stageCandidate.ts";
import type { StageQuery } from "./stageQuery.ts";

/**
 * Chooses a chain of endpoints that are not suspect. Suspect endpoints may have recovered, so they are tried if no chain is
 * possible without them. They are not tried only because the healthy endpoints are full or a link has no capacity: both become free sooner than a
 * failed endpoint is detected again.
 * @param query - The request.
 * @param candidates - Endpoints that hold layers.
 * @param random - Source of the noise that makes nodes choose differently.
 * @returns The stages; undefined if there is no chain, or if the request should wait for free memory.
 */
export function chooseHealthyStages(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
): RelayStage[] | undefined {
    const healthy = candidates.filter(({ isSuspect }) => !isSuspect);
    const stages = chooseStages(query, healthy, random);
    if (stages !== undefined || healthy.length === candidates.length) {
        return stages;
    }
    const isOnlyFull = !query.mayOvercommit
        && chooseStages({ ...query, mayOvercommit: true, getLinkWait: () => 0 }, healthy, random) !== undefined;
    return isOnlyFull ? undefined : chooseStages(query, candidates, random);
}
