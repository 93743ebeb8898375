import type { LayerRange } from "../../version/configuration.ts";

/** An engine's state as the plan uses it, with the grace period applied. */
export interface ObservedEngine {
    endpoint: string;
    layers: readonly LayerRange[];
    /** Whether its layers count as held: it is serving, or has been unreachable for less than the grace period. */
    isHolder: boolean;
    /** Whether it is serving, so that orders may be sent to it. */
    isServing: boolean;
    /** Whether it has been serving for at least the grace period, so that it may be given a load. */
    isSteady: boolean;
}
