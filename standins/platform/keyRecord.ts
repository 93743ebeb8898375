/** A key as it stands in the store. Records are replaced, never changed. */
export interface KeyRecord {
    /** The key's bytes, one character each, so that texts compare as bytes do. */
    key: string;
    /** Value in base64. */
    value: string;
    createRevision: number;
    modRevision: number;
    /** Number of writes since the key was created. */
    version: number;
    /** Lease that the key is bound to; "0" for none. */
    leaseId: string;
}
