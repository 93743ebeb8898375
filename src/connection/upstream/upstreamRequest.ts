/** A request as it goes to an endpoint. */
export interface UpstreamRequest {
    method: string;
    /** Path with its query, byte for byte. */
    target: string;
    /** Names and values by turns. */
    headers: string[];
    body: Buffer;
}
