import type { StartRequest } from "./startRequest.ts";

/** A request in the queue. */
export interface WaitingRequest<Reservation> {
    readonly request: StartRequest<Reservation>;
    /** Position among all arrivals, which orders requests that are equal otherwise. */
    readonly sequence: number;
    /** Number of requests behind it in the order that were started before it. */
    bypassCount: number;
    /** Whether it can no longer meet its latency objective, as of the last look at the order. */
    isLate: boolean;
}
