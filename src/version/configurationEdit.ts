/** An edit of the configuration. */
export interface ConfigurationEdit {
    /** The operators' new text. */
    text: string;
    /** Version that the text is based on; 0 if there was none. */
    expectedVersion: number;
    /**
     * Highest version that is known to be in force on a node. The new version is higher than this one, because nodes ignore lower
     * versions. The store may hold an older version after it was restored from a backup.
     */
    highestKnownVersion?: number;
    /** Unique id of the edit. The same edit may be applied again after an unknown outcome. */
    editId: string;
    author: string;
}
