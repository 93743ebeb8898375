import type { LayerRange } from "../../version/configuration.ts";

/** An engine and the range of layers that it should load. */
export interface PlannedLoad {
    endpoint: string;
    range: LayerRange;
}
