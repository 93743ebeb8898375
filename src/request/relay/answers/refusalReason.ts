/** Reasons for which a request ends without an endpoint's answer. */
export const RefusalReason = {
    /** The request can't be parsed. */
    Malformed: "malformed",
    /** No customer has the API key. */
    UnknownKey: "unknownKey",
    /** No route matches the host and path. */
    NoRoute: "noRoute",
    /** No endpoint has run the request or will run it. */
    NotRun: "notRun",
    /** Endpoints crashed while they ran the same request, or such with a part of its prompt; this attempt has not run and will not run. */
    HeldBack: "heldBack",
    /** An endpoint may have run the request, but its answer is missing. */
    OutcomeUnknown: "outcomeUnknown",
    /** The route's timeout has expired. An endpoint may have run the request. */
    TimedOut: "timedOut",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];
