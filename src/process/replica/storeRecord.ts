/** A value of the platform's store, or that its key was deleted. */
export interface StoreRecord {
    key: string;
    /** Revision of the change; grows over all keys. */
    revision: number;
    /** Undefined where the key was deleted. */
    text: string | undefined;
}
