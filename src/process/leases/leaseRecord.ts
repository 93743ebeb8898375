/** Value of a lease's key. The key is never deleted, so that the fencing number only increases. */
export interface LeaseRecord {
    /** Name of the holder. */
    holder: string;
    /**
     * Fencing number: increases each time the lease is acquired, and stays the same when it is renewed. Endpoints that
     * check it refuse orders with a lower number than the highest one that they have received.
     */
    fencingNumber: number;
    /** Unique per write. A holder recognizes its own writes by it after lost responses. */
    writeId: string;
    /** Whether the holder has released the lease. */
    isReleased: boolean;
    /** Time to live of the lease from when this write is sent, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Maximum time from sending an order under this lease to its completion, in milliseconds. */
    longestOrderMilliseconds: number;
    /** Wall-clock time of the expiry in milliseconds since the Unix epoch. For human readers only, never for decisions. */
    expiresHint: number;
}
