import type { LayerRange } from "../../version/configuration.ts";

/** What this node believes of an endpoint now. */
export interface EndpointState {
    endpoint: string;
    /** `serving` takes new work; `leaving` finishes what it has; `unreachable` failed its last probes. */
    state: "serving" | "leaving" | "unreachable";
    /** Layer ranges that the engine reported, or those of the configuration before the first report. */
    layers: readonly LayerRange[];
}
