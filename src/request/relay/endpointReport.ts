import type { HeldLayers } from "./heldLayers.ts";

/** What an endpoint says of its state; some hundred milliseconds old. */
export interface EndpointReport {
    /** When the endpoint that wrote it started, in Unix milliseconds; 0 where it doesn't say. */
    incarnation: number;
    /** Factor on the engine's usual times; above 1 where it is slow. */
    slowness: number;
    orderSequence: number;
    isBusyWithOrder: boolean;
    layers: HeldLayers | undefined;
    /** Memory of requests that can't be given up, in tokens times layers. */
    usedTokenLayers: number;
    totalTokenLayers: number;
    /** Requests that wait for an endpoint further down their chain, by request id. */
    stalled: { requestId: string; address: string; }[];
}
