import type { IncomingMessage } from "node:http";

/** A request that was received and is not handled before others on its connection are answered. */
export interface WaitingRequest {
    request: IncomingMessage;
    /** Monotonic time of its arrival, in milliseconds. */
    arrivedAt: number;
    /** Starts handling it. */
    start(): void;
}
