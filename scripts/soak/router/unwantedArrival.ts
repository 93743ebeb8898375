/** A request that an endpoint had asked its node not to send. Times are wall-clock times in milliseconds. */
export interface UnwantedArrival {
    requestId: string;
    /** Time of the request whose answer asked for it. */
    askedAt: number;
    arrivedAt: number;
    /** What the endpoint had asked for. */
    text: string;
}
