/** What an answer must keep to be in time. */
export interface Objectives {
    /** Longest time to the first event of a stream, or to a whole answer, in milliseconds. */
    firstMilliseconds: number;
    /** Longest pause between two events, in milliseconds. */
    gapMilliseconds: number;
}
