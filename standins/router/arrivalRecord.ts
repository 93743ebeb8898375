/** A request of a caller that arrived at the endpoint stand-in, also one that it refused. Times are in Unix milliseconds. */
export interface ArrivalRecord {
    requestId: string;
    arrivedAt: number;
    /** End of the pause that the refusal asked for; undefined if it asked for none. */
    pauseEndsAt: number | undefined;
    /** Whether the response announced that the endpoint is leaving. */
    isLeavingAnnounced: boolean;
}
