/** What the head of an endpoint's answer says. */
export interface AnswerHead {
    status: number;
    /** Headers that go on to the caller, names and values by turns. */
    headers: string[];
    /** Whether the answer names the request that it belongs to. */
    isForRequest: boolean;
    /** Whether the answer carries the endpoint's signature, without which a success is none. */
    isSigned: boolean;
    /** Whether the endpoint promises that it has not run the request. */
    isNotRun: boolean;
    /** host:port of the endpoint of a chain that is at fault, where the answer names one. */
    faultyAddress: string | undefined;
    /** Requests a second that the endpoint takes from all nodes together for now; undefined where it names no limit. */
    requestsPerSecond: number | undefined;
}
