/** The parts of a caller's request that routing and forwarding use. */
export interface RoutedRequest {
    /** Set by the caller, unique for each of its attempts. */
    id: string;
    method: string;
    host: string;
    /** Path and query, byte for byte. */
    target: string;
    /** Headers that are forwarded to the endpoint, as alternating names and values. */
    headers: string[];
    body: Buffer;
    apiKey: string | undefined;
    /** Monotonic time of arrival, in milliseconds. */
    arrivedAt: number;
    /** How long the caller waits after the arrival, in milliseconds; undefined if not specified. */
    deadlineMilliseconds: number | undefined;
    /** Id of the last event of this stream that the caller has received; 0 if none. */
    lastEventId: number;
    /** Number of prompt tokens; 0 if not specified. */
    promptTokens: number;
    /** Maximum number of answer tokens; 0 if not specified. */
    maximumAnswerTokens: number;
    /** The caller's estimate of the number of answer tokens, accurate only at the median; 0 if not specified. */
    expectedAnswerTokens: number;
    /** Ids of the parts of the prompt that other requests may share, in order; empty if not specified. */
    promptParts: readonly string[];
}
