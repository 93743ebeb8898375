import type { LayerRange } from "../../version/configuration.ts";

/** Checks if two lists contain the same ranges in the same order. Returns early if both are the same array. */
export function areLayerRangesEqual(first: readonly LayerRange[], second: readonly LayerRange[]): boolean {
    return first === second || first.length === second.length && first.every((range, index) => {
                const other = second[index];
                return range.model === other?.model && range.start === other.start && range.end === other.end;
            });
}
