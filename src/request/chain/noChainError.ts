/** Error if no chain of usable endpoints covers the model. */
export interface NoChainError {
    kind: "noChain";
    model: string;
    /** First layer that no usable endpoint holds. */
    missingLayer: number;
    message: string;
}
