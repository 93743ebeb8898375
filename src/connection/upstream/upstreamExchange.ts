/** An exchange that is under way. */
export interface UpstreamExchange {
    /** Ends the exchange and its connection. No further call reaches the listener. */
    abort(): void;
    /**
     * Gets the monotonic time in milliseconds from which on bytes of the request may have left; undefined where none has. One that
     * was aborted before is never sent.
     */
    getSentTime(): number | undefined;
}
