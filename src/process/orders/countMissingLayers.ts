import type { LayerRange } from "../../version/configuration.ts";

/**
 * Counts the layers of a range that are not held; 0 where all are.
 * @param held - Ranges that are held; they may touch or overlap.
 * @param range - Range that is asked for.
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
