/** The path that an open connection to an endpoint takes. */
export interface ConnectionPath {
    /** host:port of the endpoint. */
    address: string;
    /** Address of the peer that it goes through; undefined if it is direct. */
    peer: string | undefined;
    /** Monotonic time in milliseconds at which it was opened or last received bytes. */
    lastByteAt: number;
}
