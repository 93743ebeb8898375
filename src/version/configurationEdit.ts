/** An edit of the configuration. */
export interface ConfigurationEdit {
    /** The operators' new text. */
    text: string;
    /** Version that the text was made from; 0 where there was none. */
    expectedVersion: number;
    /**
     * Highest version that a node is known to have in force. Where the store has come back with an older value,
     * the new version goes above this one, as nodes never go to a lower version.
     */
    highestKnownVersion?: number;
    /** Unique name of the edit. The same edit may be applied again after an unknown outcome. */
    editId: string;
    author: string;
}
