import type { LayerRange } from "../../version/configuration.ts";
import type { EndpointLoad } from "./endpointLoad.ts";

/** State of one endpoint that the chooser keeps across configuration versions. */
export interface EndpointRecord {
    readonly name: string;
    readonly load: EndpointLoad;
    dataCentre: string;
    /** Maximum number of concurrent sequences at the endpoint. */
    maximumSequences: number;
    /** Layer ranges that the current graphs were built from. */
    layers: readonly LayerRange[];
}
