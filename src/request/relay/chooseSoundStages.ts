import type { RandomSource } from "../../process/randomSource.ts";
import { chooseStages } from "./chooseStages.ts";
import type { RelayStage } from "./relayStage.ts";
import type { StageCandidate } from "./stageCandidate.ts";
import type { StageQuery } from "./stageQuery.ts";

/**
 * Chooses a chain of endpoints that are not taken as lost. One that is may be back, so it is tried where no chain can do
 * without it; but not because the others are full just now, since room comes free sooner than a lost endpoint is found
 * lost again.
 * @param query - The request.
 * @param candidates - Endpoints that hold layers.
 * @param random - Source of the noise that sets nodes apart.
 * @returns The stages; undefined where there are none, or where the request should wait for room.
 */
export function chooseSoundStages(
    query: StageQuery,
    candidates: readonly StageCandidate[],
    random: RandomSource,
): RelayStage[] | undefined {
    const sound = candidates.filter(({ isSuspect }) => !isSuspect);
    const stages = chooseStages(query, sound, random);
    if (stages !== undefined || sound.length === candidates.length) {
        return stages;
    }
    const isOnlyFull = !query.mayOverfill && chooseStages({ ...query, mayOverfill: true }, sound, random) !== undefined;
    return isOnlyFull ? undefined : chooseStages(query, candidates, random);
}
