import type { AcceleratorKind } from "../../../version/routing/acceleratorKind.ts";
import type { HeldLayers } from "../endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";

/** An endpoint that can be a stage of a chain, with the properties by which it is chosen. */
export interface StageCandidate {
    endpoint: RegisteredEndpoint;
    layers: HeldLayers;
    kind: AcceleratorKind;
    /** In-flight requests of all nodes. */
    requests: number;
    /** Memory that these requests need, in tokens times layers. */
    tokenLayers: number;
    /** Memory for requests, in tokens times layers. */
    totalTokenLayers: number;
    /** Memory that this node may still use for requests on the endpoint, in tokens times layers. */
    freeTokenLayers: number;
    /** Further requests that this node may send to it as the first stage of their chains. */
    freeSlots: number;
    /** Factor by which it is slower than usual for its kind; 1 if it is as fast. */
    slowness: number;
    /** Whether it is currently suspected to be lost. */
    isSuspect: boolean;
}
