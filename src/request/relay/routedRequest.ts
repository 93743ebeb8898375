/** A caller's request, as far as routing and forwarding depend on it. */
export interface RoutedRequest {
    /** Given by the caller, new with each attempt of it. */
    id: string;
    method: string;
    host: string;
    /** Path with its query, byte for byte. */
    target: string;
    /** Headers that go on to the endpoint, names and values by turns. */
    headers: string[];
    body: Buffer;
    apiKey: string | undefined;
    /** Monotonic time of arrival, in milliseconds. */
    arrivedAt: number;
    /** How long the caller waits from the arrival on, in milliseconds; undefined where it didn't say. */
    deadlineMilliseconds: number | undefined;
    /** Id of the last event that the caller has of this stream; 0 where it has none. */
    lastEventId: number;
    /** Tokens of the prompt; 0 where the caller didn't say. */
    promptTokens: number;
    /** Most tokens of the answer; 0 where the caller didn't say. */
    maximumAnswerTokens: number;
    /** The caller's estimate of the answer's tokens, right at the median only; 0 where it gave none. */
    expectedAnswerTokens: number;
}
