/** What a process holds in memory for one party, such as a caller's connection. */
export interface HeldAmount {
    bytes: number;
    /** Part of the bytes that the process can let go of without breaking a promise. */
    releasableBytes: number;
    /** Monotonic time in milliseconds since when the releasable part is held. */
    heldSince: number;
}
