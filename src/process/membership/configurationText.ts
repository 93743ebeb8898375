/** Configuration as sent between nodes. The receiver validates it. */
export interface ConfigurationText {
    /** Version number, which only increases. */
    version: number;
    /** Unique id of the edit that created the version. */
    editId: string;
    /** Text as written by the operators. */
    text: string;
}
