/** A fault in a parsed value, without a position in the text. */
export interface ValueFault {
    /** Keys and indexes that lead from the root to the value. */
    path: (string | number)[];
    /** Description of the fault and how to fix it. */
    message: string;
    /** Whether the fault concerns the last key of the path instead of its value. */
    isAboutKey?: boolean;
}
