/** How the stand-in misbehaves. */
export interface KeyValueFaults {
    /** Status that every call gets. */
    refuseWith?: number;
    /** Calls get no answer. */
    isSilent?: boolean;
    /** Writes are done and get no answer. */
    losesAnswers?: boolean;
}
