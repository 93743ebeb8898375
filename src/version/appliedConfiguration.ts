/** What an edit of the configuration brought into force. */
export interface AppliedConfiguration {
    version: number;
    /** Whether a later edit has already replaced it. */
    isReplaced: boolean;
}
