/** The end of a request at a node, as logged. */
export interface RequestEnd {
    /** Time of arrival, in Unix milliseconds. */
    arrivedAt: number;
    route: string;
    /** `inTime`, a text that starts with `late`, or why there is no complete response. */
    reason: string;
}
