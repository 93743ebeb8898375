/** Monotonic and wall-clock time of one event, in milliseconds. */
export interface EventTime {
    /** Monotonic time, for intervals and deadlines. Only differences are meaningful. */
    monotonic: number;
    /** Wall-clock time since the Unix epoch, for the claim window. It may jump forward or backward. */
    wall: number;
}
