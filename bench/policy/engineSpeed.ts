/** How fast a stand-in engine is: a step takes base + perLayer x layers + perWork x (positions x layers). */
export interface EngineSpeed {
    accelerator: string;
    baseMilliseconds: number;
    perLayerMilliseconds: number;
    perWorkMilliseconds: number;
    /** Positions that one step serves at most in one layer. */
    batchPositions: number;
}
