import type { LayeredGraph } from "../layeredGraph.ts";
import type { LinkTable } from "../linkTable.ts";

/** A model of a {@link FlowBoundOptions}. */
export interface FlowModel {
    name: string;
    graph: LayeredGraph;
    /** Bytes of one position's activations. */
    hiddenBytes: number;
    /** Part of all positions that are of this model; only the ratios between models count. */
    demand: number;
}

/** An endpoint of a {@link FlowBoundOptions}. */
export interface FlowEndpoint {
    dataCentre: string;
    /** Positions times layers a second, at the endpoint's largest batch; shared by all it holds. */
    rate: number;
}

/** What a throughput bound is computed from. */
export interface FlowBoundOptions {
    models: readonly FlowModel[];
    endpoints: ReadonlyMap<string, FlowEndpoint>;
    links: LinkTable;
    /** Part of the requests that arrive at the nodes of each data centre; only the ratios count. */
    nodes: ReadonlyMap<string, number>;
}
