/** Kinds of requests, which determine whether a request may be retried after an endpoint may have run it. */
export const RequestKind = {
    /** May run any number of times. */
    Idempotent: "idempotent",
    /** May run at most once. */
    NonIdempotent: "nonIdempotent",
    /** Answered with a stream of events. May be retried only if the route's streams can be resumed. */
    Stream: "stream",
} as const;
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];
