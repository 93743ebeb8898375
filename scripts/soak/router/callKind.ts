/** The kinds of requests in the soak test. */
export const callKinds = {
    /** An idempotent document request. */
    safe: "safe",
    /** A document request that may run at most once. */
    unsafe: "unsafe",
    /** A model request with a resumable stream. */
    model: "model",
    /** A model request that may run at most once. */
    once: "once",
    /** A model request with a resumable stream, of the last rank. */
    last: "last",
    /** A request with a resumable stream that declares the parts of its prompt. */
    prompt: "prompt",
    /** The same, but it may run at most once. */
    promptOnce: "promptOnce",
} as const;

/** One of {@link callKinds}. */
export type CallKind = (typeof callKinds)[keyof typeof callKinds];
