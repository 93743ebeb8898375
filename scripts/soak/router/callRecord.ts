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

/** A request as its caller saw it. */
export interface CallRecord {
    id: string;
    kind: CallKind;
    method: "GET" | "POST";
    path: string;
    body: string;
    /** Name of the node. */
    node: string;
    /** Wall-clock times in milliseconds. */
    sentAt: number;
    endedAt: number;
    /** 0 where the connection ended before a head came. */
    status: number;
    /** The endpoint's signature; undefined where the answer bears none. */
    signature: string | undefined;
    text: string;
    /** Whether the answer came to its proper end. */
    isComplete: boolean;
    /** Why the answer is not complete. */
    reason: string;
}
