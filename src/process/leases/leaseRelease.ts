/** A holder's word that it has given a lease up. */
export interface LeaseRelease {
    /** Revision of the lease's record that says so. */
    revision: number;
    /** Number that the holder gave its orders under. */
    fencingNumber: number;
}
