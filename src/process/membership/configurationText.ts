/** A configuration as it travels between nodes: checked by its receiver, never trusted. */
export interface ConfigurationText {
    /** Number of the version; only grows. */
    version: number;
    /** Unique name of the edit that brought it. */
    editId: string;
    /** The operators' text as written. */
    text: string;
}
