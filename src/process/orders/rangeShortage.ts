import type { LayerRange } from "../../version/configuration.ts";

/** A range of layers that fewer engines hold than are wanted. */
export interface RangeShortage {
    range: LayerRange;
    /** Engines that hold each layer of the range, or are loading it. */
    holders: number;
}
