/** Faults of the key-value store stand-in. */
export interface KeyValueFaults {
    /** Status with which all calls are refused. */
    refusalStatus?: number;
    /** Whether calls get no response. */
    isSilent?: boolean;
    /** Whether the connection of a write is closed without a response after the write was executed. */
    losesAnswers?: boolean;
}
