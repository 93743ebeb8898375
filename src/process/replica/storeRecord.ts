/** A value in the platform's store, or the deletion of its key. */
export interface StoreRecord {
    key: string;
    /** Revision of the change. Increases across all keys. */
    revision: number;
    /** Undefined if the key was deleted. */
    text: string | undefined;
}
