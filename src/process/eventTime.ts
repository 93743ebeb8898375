/** The two times of one event, in milliseconds. */
export interface EventTime {
    /** For intervals and deadlines; only differences mean something. */
    monotonic: number;
    /** For the window, since the Unix epoch; it may step. */
    wall: number;
}
