/** An exchange that is under way. */
export interface UpstreamExchange {
    /** Ends the exchange and its connection. No further call reaches the listener. */
    abort(): void;
}
