import type { LayeredGraph } from "../layeredGraph.ts";
import type { LinkTable } from "../linkTable.ts";

/** A model in the options of a throughput bound. */
export interface FlowModel {
    name: string;
    graph: LayeredGraph;
    /** Size of the activations of one position, in bytes. */
    hiddenBytes: number;
    /** Share of all positions that belong to this model. Only the ratios between models matter. */
    demand: number;
}

/** An endpoint in the options of a throughput bound. */
export interface FlowEndpoint {
    dataCentre: string;
    /** Positions times layers per second with the endpoint's largest batch, shared by all layers that it holds. */
    rate: number;
}

/** Options for computing a throughput bound. */
export interface FlowBoundOptions {
    models: readonly FlowModel[];
    endpoints: ReadonlyMap<string, FlowEndpoint>;
    links: LinkTable;
    /** Share of the requests that arrive at the nodes, by data centre. Only the ratios matter. */
    nodeShares: ReadonlyMap<string, number>;
}
