import { InvariantError } from "../../process/invariantError.ts";
import type { RelayStage } from "./relayStage.ts";

/**
 * Checks that a chain runs every layer once and in order, each at another endpoint that holds it.
 * @param stages - The chain.
 * @param layers - Number of layers of the model.
 * @throws InvariantError where it doesn't.
 */
export function assertTiling(stages: readonly RelayStage[], layers: number): void {
    const endpointIds = new Set<string>();
    let at = 0;
    for (const { endpoint, start, end } of stages) {
        const held = endpoint.layers;
        const isHeld = held !== undefined && held.start <= start && end <= held.end;
        if (start !== at || end <= start || !isHeld || endpointIds.has(endpoint.id)) {
            throw InvariantError.create("tiling", `Stage ${start}-${end} at ${endpoint.id} doesn't fit its chain.`);
        }
        endpointIds.add(endpoint.id);
        at = end;
    }
    if (at !== layers) {
        throw InvariantError.create("tiling", `A chain ends at layer ${at} of ${layers}.`);
    }
}
