/** Range of layers of a model, from `start` up to but not including `end`. */
export interface HeldLayers {
    start: number;
    end: number;
}
