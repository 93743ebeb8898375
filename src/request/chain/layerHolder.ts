/**
 * Holder of layers: an endpoint with one contiguous range of the layers that it holds, as intervals of a layered graph from
 * `firstInterval` up to but not including `endInterval`. An endpoint with several separate ranges is one holder for each.
 */
export interface LayerHolder {
    endpoint: string;
    firstInterval: number;
    endInterval: number;
    /** Number of layers in these intervals. */
    layers: number;
}
