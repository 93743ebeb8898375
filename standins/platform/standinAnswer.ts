/** Response of the stand-in to a call. */
export interface StandinAnswer {
    /** HTTP status. */
    status: number;
    /** Body, which is sent as JSON. */
    body: object;
    /** Whether the call has changed keys or leases. */
    hasWritten: boolean;
}
