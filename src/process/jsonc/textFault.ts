/** One fault in a text of JSON with comments. */
export interface TextFault {
    /** Line of the fault, from 1. */
    line: number;
    /** Column of the fault in UTF-16 code units, from 1. */
    column: number;
    /** Path of the value, such as `services.receipts.endpoints[0]`; empty for the whole text. */
    path: string;
    /** What is wrong and what to do about it. */
    message: string;
}
