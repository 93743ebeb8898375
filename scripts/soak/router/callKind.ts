/** The kinds of requests that the soak sends. */
export const callKinds = {
    /** A document that may be asked for again. */
    safe: "safe",
    /** A document request that may run once at most. */
    unsafe: "unsafe",
    /** A stream that may be taken up again. */
    model: "model",
    /** A stream that may run once at most. */
    once: "once",
} as const;

/** One of {@link callKinds}. */
export type CallKind = (typeof callKinds)[keyof typeof callKinds];
