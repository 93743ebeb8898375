import type { PeerErrorKind } from "./peerErrorKind.ts";

/** A failed call to a peer. */
export interface PeerError {
    kind: PeerErrorKind;
    /** Cause of the error and a suggested action. */
    message: string;
}
