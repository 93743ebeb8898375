import type { LayerRange } from "../../version/configuration.ts";

/** What the plan takes into account of an endpoint. */
export interface ObservedEngine {
    endpoint: string;
    layers: readonly LayerRange[];
    /** Whether its layers count as held: it serves, or it went unreachable only just now. */
    isHolder: boolean;
    /** Whether orders may be sent to it: it serves. */
    isServing: boolean;
    /** Whether it may be given a load: it serves, and has done so for the grace time. */
    isSteady: boolean;
}
