import type { AcceleratorKind } from "../../version/routing/acceleratorKind.ts";
import type { HeldLayers } from "./heldLayers.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";

/** An endpoint that can be a stage of a chain, with what its choice depends on. */
export interface StageCandidate {
    endpoint: RegisteredEndpoint;
    layers: HeldLayers;
    kind: AcceleratorKind;
    /** Requests of all nodes that pass through it. */
    requests: number;
    /** Memory that these need, in tokens times layers. */
    tokenLayers: number;
    /** Memory for requests, in tokens times layers. */
    totalTokenLayers: number;
    /** Memory that this node may still give to requests there, in tokens times layers. */
    roomTokenLayers: number;
    /** Factor on its usual times; 1 where it is as fast as its kind. */
    slowness: number;
    /** Whether it is taken as lost for now. */
    isSuspect: boolean;
}
