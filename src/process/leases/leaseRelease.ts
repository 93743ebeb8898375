/** Notice by a holder that it has released a lease. */
export interface LeaseRelease {
    /** Revision of the lease's record with the release. */
    revision: number;
    /** Fencing number of the holder. */
    fencingNumber: number;
}
