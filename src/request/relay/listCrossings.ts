import type { Crossing } from "./crossing.ts";
import type { RelayStage } from "./relayStage.ts";

/** Lists the ways between data centres that a chain's tokens take, in order. */
export function listCrossings(stages: readonly RelayStage[]): Crossing[] {
    const crossings: Crossing[] = [];
    for (const [index, { endpoint }] of stages.entries()) {
        const next = stages[index + 1];
        if (next !== undefined && next.endpoint.dataCentre !== endpoint.dataCentre) {
            crossings.push({ from: endpoint.dataCentre, to: next.endpoint.dataCentre });
        }
    }
    return crossings;
}
