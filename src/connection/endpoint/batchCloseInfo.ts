/** How the response to a batch of passes ended. */
export interface BatchCloseInfo {
    reason: string;
    /** Whether a byte of the batch may have reached the engine. */
    mayHaveArrived: boolean;
}
