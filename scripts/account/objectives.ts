/** Limits that a response must meet to be in time. */
export interface Objectives {
    /** Maximum time to the first event of a stream or to a complete response, in milliseconds. */
    firstMilliseconds: number;
    /** Maximum gap between two events, in milliseconds. */
    gapMilliseconds: number;
}
