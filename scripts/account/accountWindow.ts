/** The requests that arrived in one span of time. */
export interface AccountWindow {
    /** Start of the span, in seconds since the first request. */
    from: number;
    asked: number;
    inTime: number;
    /** Requests that were late or not answered, by reason; the most frequent first. */
    lost: [reason: string, count: number][];
}
