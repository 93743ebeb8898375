/** A request to an endpoint. */
export interface UpstreamRequest {
    method: string;
    /** Path and query, which are sent unchanged. */
    target: string;
    /** Alternating names and values. */
    headers: string[];
    body: Buffer;
}
