import type { HeldLayers } from "./heldLayers.ts";

/** State of an endpoint as reported by itself; usually a few hundred milliseconds old. */
export interface EndpointReport {
    /** Start time of the reporting endpoint in Unix milliseconds; 0 if unknown. */
    incarnation: number;
    /** Factor by which the engine is slower than usual; 1 at usual speed. */
    slowness: number;
    orderSequence: number;
    isBusyWithOrder: boolean;
    layers: HeldLayers | undefined;
    /** Memory of requests that can't be evicted, in tokens times layers. */
    usedTokenLayers: number;
    totalTokenLayers: number;
    /** Ids of requests that wait for a later endpoint of their chain, with that endpoint's address. */
    stalled: { requestId: string; address: string; }[];
}
