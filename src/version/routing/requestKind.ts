/** What may be repeated of a route's requests. */
export const RequestKind = {
    /** May run any number of times. */
    Idempotent: "idempotent",
    /** May run once at most. */
    NonIdempotent: "nonIdempotent",
    /** Answered by a series of events; may be repeated only where the route says that streams can be resumed. */
    Stream: "stream",
} as const;
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];
