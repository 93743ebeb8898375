import type { HeldLayers } from "../endpoints/heldLayers.ts";

/**
 * Checks if ranges of layers together cover a model. A chain that may run parts of the ranges exists exactly then, which is much
 * cheaper to check than to search the chain.
 * @param ranges - Ranges, in any order.
 * @param layers - Number of layers of the model.
 */
export function coversAllLayers(ranges: readonly HeldLayers[], layers: number): boolean {
    let covered = 0;
    while (covered < layers) {
        let reached = covered;
        for (const { start, end } of ranges) {
            if (start <= covered && end > reached) {
                reached = end;
            }
        }
        if (reached === covered) {
            return false;
        }
        covered = reached;
    }
    return true;
}
