import type { PeerErrorKind } from "./peerErrorKind.ts";

/** A failed call to a peer. */
export interface PeerError {
    kind: PeerErrorKind;
    /** What failed and what to do about it. */
    message: string;
}
