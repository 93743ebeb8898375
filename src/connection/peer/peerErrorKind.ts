/** Kinds of errors of a call to a peer. */
export const PeerErrorKind = {
    /** The connection could not be established, or it failed. In the latter case, the call may have been handled. */
    Unreachable: "unreachable",
    /** No response before the deadline: the peer is slow, or the connection is dead. The call may have been handled. */
    TimedOut: "timedOut",
    /** The peer does not accept the secret of this node. The call was not handled. */
    Unauthenticated: "unauthenticated",
    /** Too many calls to the peer are in flight. The call was not sent. */
    TooManyCalls: "tooManyCalls",
    /** The handler of the peer failed. */
    Failed: "failed",
    /** The connections of this node have been closed. The call was not sent. */
    Closed: "closed",
} as const;
export type PeerErrorKind = typeof PeerErrorKind[keyof typeof PeerErrorKind];
