/** A release of a lease, by this process or another one. */
export interface LeaseRelease {
    /** Revision in the store of the write that released the lease. */
    revision: number;
    /** Fencing number of the holder that released it. */
    fencingNumber: number;
}
