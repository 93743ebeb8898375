/** What an endpoint's answer says about further requests from this node. */
export interface AnswerInstructions {
    /** Whether the endpoint is leaving and must get no new requests. */
    isLeaving: boolean;
    /** Time in milliseconds for which the endpoint wants no requests from this node; undefined if it names none. */
    pauseMilliseconds: number | undefined;
}
