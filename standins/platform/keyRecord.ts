/** A key in the store. Records are immutable; a write replaces them. */
export interface KeyRecord {
    /** Key with one character per byte, so that string comparison orders keys by their bytes. */
    key: string;
    /** Value in base64. */
    value: string;
    createRevision: number;
    modRevision: number;
    /** Number of writes since the key was created. */
    version: number;
    /** Lease that the key is attached to; "0" for none. */
    leaseId: string;
}
