import type { LayerRange } from "../../version/configuration.ts";

/** What an observing node saw of an endpoint. */
export interface EndpointObservation {
    state: "serving" | "leaving" | "unreachable";
    /** Layer ranges held; empty where none were reported, as for document endpoints. */
    layers: readonly LayerRange[];
}
