/** A version of a value that a source offers to a follower. */
export interface VersionOffer {
    /** Number of the version, a positive integer. */
    version: number;
    /** Unique id of the edit that created the version. */
    editId: string;
    /** The value as text. */
    text: string;
}
