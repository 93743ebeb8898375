/** A fault of a parsed value, not yet located in its text. */
export interface ValueFault {
    /** Keys and indexes from the top of the value. */
    path: (string | number)[];
    /** What is wrong and what to do about it. */
    message: string;
    /** Whether the fault is about the key at the end of the path and not about its value. */
    isAboutKey?: boolean;
}
