import type { LayerRange } from "../../version/configuration.ts";

/** State of an endpoint, as this node currently knows it. */
export interface EndpointState {
    endpoint: string;
    /**
     * `serving` accepts new work, `leaving` only finishes its current work, `unreachable` failed its last probes, `paused` has asked
     * this node for no requests for some time.
     */
    state: "serving" | "leaving" | "unreachable" | "paused";
    /** Layer ranges that the engine reported; before its first report, those of the configuration. */
    layers: readonly LayerRange[];
}
