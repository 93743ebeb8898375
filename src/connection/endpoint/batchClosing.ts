/** How the response to a batch of passes ended. */
export interface BatchClosing {
    reason: string;
    /** Whether a byte of the batch may have reached the engine. */
    mayHaveArrived: boolean;
}
