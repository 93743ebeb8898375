/** A request of an experiment's load. */
export interface SimulatedRequest {
    id: string;
    customer: string;
    promptTokens: number;
    /** Events of its answer. */
    events: number;
    /** Its caller's estimate of the answer's tokens. */
    expectedAnswerTokens: number;
    /** How long its caller waits, in milliseconds. */
    deadlineMilliseconds: number;
    /** Chance that its caller comes back at once. */
    impatientPart: number;
}
