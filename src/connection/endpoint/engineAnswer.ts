/** Answer of an engine to a call that is not a batch of passes. */
export interface EngineAnswer {
    status: number;
    /** The parsed JSON; undefined where the body is empty. */
    body: unknown;
}
