/** Bounds of the body of a response. A response that exceeds one is invalid, and its connection is closed. */
export interface BodyBounds {
    maximumBytes: number;
    /** Maximum time from the head of the response to its end. */
    maximumMilliseconds: number;
}
