/** A value that some source claims to be the newest. */
export interface VersionOffer {
    /** Number of the version, a whole number from 1. */
    version: number;
    /** Unique name of the edit that brought the version. */
    editId: string;
    /** The value as text. */
    text: string;
}
