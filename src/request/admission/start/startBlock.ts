/** Something other than the endpoints that keeps a request from starting, such as a link between data centres. */
export interface StartBlock {
    /** Time until it has capacity for the request, in milliseconds. */
    waitMilliseconds: number;
    /** Books capacity for the request's retry, and gets the retry delay in milliseconds. */
    bookRetry(): number;
}
