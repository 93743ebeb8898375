/** A fault in a text of JSON with comments. */
export interface TextFault {
    /** Line of the fault, starting at 1. */
    line: number;
    /** Column of the fault in UTF-16 code units, starting at 1. */
    column: number;
    /** Path of the value, such as `services.receipts.endpoints[0]`; empty for the whole text. */
    path: string;
    /** Description of the fault and how to fix it. */
    message: string;
}
