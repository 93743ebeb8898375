/** A plain HTTP call to a document service. */
export interface DocumentCall {
    method: string;
    /** Path with the query, as the service gets it. */
    path: string;
    headers: Record<string, string>;
    body: Buffer;
    /** Whether the call may be sent again. */
    isIdempotent: boolean;
}
