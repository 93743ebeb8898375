import type { LayerRange } from "../../version/configuration.ts";

/** One engine that is to load one range of layers. */
export interface PlannedLoad {
    endpoint: string;
    range: LayerRange;
}
