/** Counts of the requests that arrived in a time window. */
export interface AccountWindow {
    /** Start of the window, in seconds since the first request. */
    from: number;
    asked: number;
    inTime: number;
    /** Number of requests that were late or not answered, by reason, the most frequent first. */
    lost: [reason: string, count: number][];
}
