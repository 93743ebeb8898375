import type { Duplex } from "node:stream";

/** A connection to an endpoint that counts what it receives. */
export interface ReceivingSocket extends Duplex {
    /** Number of bytes received from the endpoint, including those that were not read yet. */
    readonly bytesRead: number;
}
