/** The end of a request at a node, as logged. */
export interface RequestEnd {
    /** Time of arrival, in Unix milliseconds. */
    arrivedAt: number;
    route: string;
    /** `inTime`, a text that starts with `late`, or why there is no complete response. */
    reason: string;
    /** Whether the node refused it, so that no endpoint has run it. */
    isRefused: boolean;
    /** Retry delay of a refusal for lack of capacity, in milliseconds; undefined if there was none or the log doesn't have it. */
    retryMilliseconds: number | undefined;
    /** Time from the arrival to the first byte sent to an endpoint, in milliseconds; undefined if none was sent. */
    sentMilliseconds: number | undefined;
    /** Priority rank; undefined in logs of older releases, as are the next three. */
    rank: number | undefined;
    /** Empty if the request has no customer. */
    customer: string | undefined;
    /** Data centre of the node. */
    dataCentre: string | undefined;
    /** Data centres of the endpoints of the last attempt, in order; empty if there was none. */
    dataCentres: string[] | undefined;
    /** Accelerator kinds of the endpoints in use at the end, in order; undefined if the logs don't tell. Those of documents have none. */
    kinds: string[] | undefined;
}
