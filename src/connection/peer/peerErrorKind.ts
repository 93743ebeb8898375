/** Kinds of failure of a call to a peer. */
export const PeerErrorKind = {
    /** No connection could be made, or it broke. The call may have been handled where it broke. */
    Unreachable: "unreachable",
    /** No answer in time: the peer is slow, or the connection is silent. The call may have been handled. */
    TimedOut: "timedOut",
    /** The peer does not accept this node's secret. The call was not handled. */
    Unauthenticated: "unauthenticated",
    /** Too many calls to the peer are under way. The call was not sent. */
    TooManyCalls: "tooManyCalls",
    /** The peer's handler failed. */
    Failed: "failed",
    /** The connections of this node have been closed. The call was not sent. */
    Closed: "closed",
} as const;
export type PeerErrorKind = typeof PeerErrorKind[keyof typeof PeerErrorKind];
