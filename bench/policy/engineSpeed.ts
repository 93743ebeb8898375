/** Speed of a stand-in engine. A step takes base + perLayer x layers + perWork x (positions x layers). */
export interface EngineSpeed {
    accelerator: string;
    baseMilliseconds: number;
    perLayerMilliseconds: number;
    perWorkMilliseconds: number;
    /** Maximum number of positions that one step processes in a layer. */
    batchPositions: number;
}
