/**
 * Contiguous intervals of a layered graph that one endpoint holds, from `firstInterval` up to but not including
 * `endInterval`.
 */
export interface LayerHolder {
    endpoint: string;
    firstInterval: number;
    endInterval: number;
    /** Number of layers in these intervals. */
    layers: number;
}
