import type { LayerRange } from "../../version/configuration.ts";

/**
 * Counts the layers of a range that no held range contains.
 * @param held - Ranges that are held; they may be adjacent or overlap.
 * @param range - Range to check.
 */
export function countMissingLayers(held: readonly LayerRange[], range: LayerRange): number {
    let missing = 0;
    for (let layer = range.start; layer < range.end; layer += 1) {
        if (!held.some(other => other.model === range.model && other.start <= layer && layer < other.end)) {
            missing += 1;
        }
    }
    return missing;
}
