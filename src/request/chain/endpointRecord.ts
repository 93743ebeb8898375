import type { LayerRange } from "../../version/configuration.ts";
import type { EndpointLoad } from "./endpointLoad.ts";

/** What the chooser keeps of one endpoint across configuration versions. */
export interface EndpointRecord {
    readonly name: string;
    readonly load: EndpointLoad;
    dataCentre: string;
    /** Sequences that the endpoint serves at the same time. */
    maximumSequences: number;
    /** Ranges that the graphs in use were built from. */
    layers: readonly LayerRange[];
}
