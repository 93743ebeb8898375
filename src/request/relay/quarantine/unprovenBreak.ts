/** A connection that broke while its endpoint ran a request, without a proof that the endpoint has crashed. */
export interface UnprovenBreak {
    endpointId: string;
    /** Monotonic time in milliseconds at which the connection broke. */
    at: number;
    /**
     * Called if the endpoint turns out to have crashed.
     * @param isDown - Whether it is down. Otherwise it has restarted.
     */
    onProven(isDown: boolean): void;
}
