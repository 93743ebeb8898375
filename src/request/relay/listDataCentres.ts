import type { RelayStage } from "./relayStage.ts";

/** Lists the data centres of a chain's stages, in order. */
export function listDataCentres(stages: readonly RelayStage[]): string[] {
    return stages.map(({ endpoint }) => endpoint.dataCentre);
}
