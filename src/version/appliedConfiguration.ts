/** Result of a successful edit of the configuration. */
export interface AppliedConfiguration {
    /** Version that the edit created. */
    version: number;
    /** Whether a later edit has already replaced it. */
    isReplaced: boolean;
}
