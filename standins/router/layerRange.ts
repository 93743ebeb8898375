/** Layers from a start up to but not including an end. */
export interface LayerRange {
    from: number;
    to: number;
}
