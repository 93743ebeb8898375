/** How the stand-in handles requests. */
export interface EndpointBehaviour {
    /** Refuses requests with this status and marks them as not executed. */
    refusalStatus?: number;
    /** Refuses requests as full, marks them as not executed, and reports that its memory is in use. */
    isFull?: boolean;
    /** Time in seconds for which a refusal asks the node to send no requests. Only with a `refusalStatus`. */
    pauseSeconds?: number;
    /** Announces in all responses that the endpoint is leaving. */
    isLeaving?: boolean;
    /** Runs the request and resets the connection without a response. */
    losesAnswer?: boolean;
    /** Runs the request and responds with this status. */
    failureStatus?: number;
    /** Creates the raw bytes to respond with, after having run the request. A stream that is resumed has a last event. */
    createRawAnswer?(requestId: string, lastEventId: number): string | undefined;
    /** Sends a different request ID in the response. */
    answersWrongRequest?: boolean;
    /** Omits the signature of the response. */
    isUnsigned?: boolean;
    /** Sends additional bytes after the response. */
    sendsExtra?: boolean;
    /** Sends a response without a length and then resets the connection. */
    resetsUnframed?: boolean;
    /** Sends responses with neither a length nor chunks, and ends their connection in this way. */
    unframedEnd?: "close" | "reset";
    /** Closes the connection of a stream in the middle of the event that follows this event. */
    cutsAfterEvent?: number;
    /** Gets if the connection of a stream breaks after this number of events, while those of the others continue. */
    breaksOff?(requestId: string, sentEvents: number): boolean;
    /** Sends bytes that are no event after this event of a stream, and then ends the answer regularly or goes on with its events. */
    foreignBytes?: { afterEvent: number; bytes: string; continues: boolean; };
    /** Stops the endpoint and closes all its connections shortly after it starts to run a request with this body. */
    stopsOnBody?: string;
    /** Stops the endpoint at once for such a request, without the time that it takes to start a run. */
    stopsSuddenly?: boolean;
    /** Stops the endpoint and closes all its connections this long after it has begun to answer a request with this body. */
    stopsAfterAnswering?: { body: string; milliseconds: number; };
    /**
     * Stops the endpoint and closes all its connections shortly after it would begin to answer a request whose prompt has this part, unless
     * it is the last one.
     */
    stopsOnPromptPart?: string;
    /** Stalls a stream after this event until an order moves the request to another chain. */
    stallsAfterEvent?: number;
    /** Time in milliseconds after which a stalled stream continues by itself. Default: it does not. */
    stallMilliseconds?: number;
    /** Rate limit for all nodes together, which the endpoint sends in its responses. */
    requestsPerSecond?: number;
    /** Delay of the response, in milliseconds. */
    delayMilliseconds?: number;
    /** Factor on the time between events, which the endpoint also reports. */
    slowness?: number;
}
