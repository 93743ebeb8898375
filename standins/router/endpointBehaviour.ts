/** What the stand-in does with a request. */
export interface EndpointBehaviour {
    /** Refuses as not run, with this status. */
    refuseWith?: number;
    /** Runs the request and breaks the connection without an answer. */
    losesAnswer?: boolean;
    /** Runs the request and answers with this status. */
    failWith?: number;
    /** Names another request in its answer. */
    answersWrongRequest?: boolean;
    /** Leaves the signature out. */
    isUnsigned?: boolean;
    /** Sends bytes after its answer. */
    sendsExtra?: boolean;
    /** Answers without a length and then resets the connection. */
    resetsUnframed?: boolean;
    /** Breaks a stream off in the middle of the event after this one. */
    cutsAfterEvent?: number;
    /** Ends, with all its connections, soon after it began to run a request with this body. */
    endsOnBody?: string;
    /** Falls silent after this event until it is moved to another chain. */
    stallsAfterEvent?: number;
    /** Names this as the requests a second that it takes from all nodes together. */
    requestsPerSecond?: number;
    /** Answers this much later, in milliseconds. */
    delayMilliseconds?: number;
}
