import { InvariantError } from "../../../process/invariantError.ts";
import type { RelayStage } from "./relayStage.ts";

/**
 * Asserts that a chain runs every layer once and in order, and that each stage has its own endpoint, which holds its layers.
 * @param stages - The chain.
 * @param layers - Number of layers of the model.
 * @throws InvariantError if it doesn't.
 */
export function assertValidChain(stages: readonly RelayStage[], layers: number): void {
    const endpointIds = new Set<string>();
    let nextLayer = 0;
    for (const { endpoint, start, end } of stages) {
        const held = endpoint.layers;
        const isHeld = held !== undefined && held.start <= start && end <= held.end;
        if (start !== nextLayer || end <= start || !isHeld || endpointIds.has(endpoint.id)) {
            throw InvariantError.create(
                "tiling",
                `Stage ${start}-${end} at ${endpoint.id} is empty, out of order, not held by the endpoint, or reuses it.`,
            );
        }
        endpointIds.add(endpoint.id);
        nextLayer = end;
    }
    if (nextLayer !== layers) {
        throw InvariantError.create("tiling", `A chain ends at layer ${nextLayer} of ${layers}.`);
    }
}
