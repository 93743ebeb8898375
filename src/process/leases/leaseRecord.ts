/** What stands under a lease's key. The key is never deleted, so that the fencing number only grows. */
export interface LeaseRecord {
    /** Who holds the lease. */
    holder: string;
    /** Grows with each change of the holder. */
    fencingNumber: number;
    /** Unique per write; a holder finds its own writes by it after lost answers. */
    writeId: string;
    /** Whether the holder has given the lease up. */
    isReleased: boolean;
    /** How long the lease lasts from the sending of this write, in milliseconds. */
    timeToLiveMilliseconds: number;
    /** Longest time that an order under this lease is on its way or being carried out, in milliseconds. */
    longestOrderMilliseconds: number;
    /** Wall-clock time of the end in milliseconds since the Unix epoch; for those who read it, never for decisions. */
    expiresHint: number;
}
