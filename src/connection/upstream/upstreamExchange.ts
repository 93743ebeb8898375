/** An exchange that is under way. */
export interface UpstreamExchange {
    /** Ends the exchange and its connection. No further call reaches the listener. */
    abort(): void;
    /** Whether a byte of the request may have been sent. One that was aborted before is never sent. */
    isSent(): boolean;
}
