/** An endpoint's run of intervals in a layered graph, from `firstInterval` up to but not including `endInterval`. */
export interface LayerHolder {
    endpoint: string;
    firstInterval: number;
    endInterval: number;
    /** Layers of the whole run. */
    layers: number;
}
