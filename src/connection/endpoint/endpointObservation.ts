import type { LayerRange } from "../../version/configuration.ts";

/** An endpoint's state as observed by a node. */
export interface EndpointObservation {
    state: "serving" | "leaving" | "unreachable";
    /** Layer ranges that the endpoint holds. Empty if none were reported, as for document endpoints. */
    layers: readonly LayerRange[];
}
