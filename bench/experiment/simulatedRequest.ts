/** A request of a simulated load. */
export interface SimulatedRequest {
    id: string;
    customer: string;
    rank: number;
    targetLatencyMilliseconds: number;
    promptTokens: number;
    /** Number of events in the answer. */
    events: number;
    /** The caller's estimate of the number of tokens in the answer. */
    expectedAnswerTokens: number;
    /** Time that the caller waits for the answer, in milliseconds. */
    deadlineMilliseconds: number;
    /** Probability that the caller retries at once after a refusal. */
    immediateRetryProbability: number;
}
