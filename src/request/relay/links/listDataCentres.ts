import type { RelayStage } from "../chains/relayStage.ts";

/** Lists the data centres of a chain's stages, in order. */
export function listDataCentres(stages: readonly RelayStage[]): string[] {
    return stages.map(({ endpoint }) => endpoint.dataCentre);
}
