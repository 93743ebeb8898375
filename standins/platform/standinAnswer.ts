/** An answer of the stand-in to one call. */
export interface StandinAnswer {
    /** HTTP status. */
    status: number;
    /** Sent as JSON. */
    body: object;
    /** Whether the call has changed keys or leases. */
    hasWritten: boolean;
}
