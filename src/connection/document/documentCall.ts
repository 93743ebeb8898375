/** An HTTP call to a document service. */
export interface DocumentCall {
    method: string;
    /** Path and query that the service receives. */
    path: string;
    headers: Record<string, string>;
    body: Buffer;
    /** Whether the call may be retried. */
    isIdempotent: boolean;
}
