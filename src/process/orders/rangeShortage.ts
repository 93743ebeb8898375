import type { LayerRange } from "../../version/configuration.ts";

/** A range of layers that too few engines hold. */
export interface RangeShortage {
    range: LayerRange;
    /** Number of engines that hold or are loading each layer of the range. */
    holderCount: number;
}
