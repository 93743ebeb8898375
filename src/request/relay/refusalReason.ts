/** Why a request ends without an endpoint's answer. */
export const RefusalReason = {
    /** The request can't be read as one. */
    Malformed: "malformed",
    /** No customer has the API key. */
    UnknownKey: "unknownKey",
    /** No route fits the host and path. */
    NoRoute: "noRoute",
    /** No endpoint has run the request, and none will. */
    NotRun: "notRun",
    /** Endpoints ended while they ran the same request before; this sending has not run, and won't. */
    HeldBack: "heldBack",
    /** An endpoint may have run the request; its answer is missing. */
    OutcomeUnknown: "outcomeUnknown",
    /** The route's time is over. An endpoint may have run the request. */
    TimedOut: "timedOut",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];
