import { Code, ConnectError } from "@connectrpc/connect";
import type { PeerError } from "./peerError.ts";
import { PeerErrorKind } from "./peerErrorKind.ts";

/**
 * Converts an error that a call threw to a peer error.
 * @param reason - The thrown value.
 * @param address - host:port of the peer.
 */
export function toPeerError(reason: unknown, address: string): PeerError {
    const error = ConnectError.from(reason);
    switch (error.code) {
        case Code.DeadlineExceeded:
            return {
                kind: PeerErrorKind.TimedOut,
                message: `Peer ${address} did not respond in time; the next call uses a new connection.`,
            };
        case Code.Unauthenticated:
            return {
                kind: PeerErrorKind.Unauthenticated,
                message: `Peer ${address} rejected the secret; configure the same peer secret on all nodes.`,
            };
        case Code.Unavailable:
        case Code.Aborted:
        case Code.Canceled:
            return {
                kind: PeerErrorKind.Unreachable,
                message:
                    `Peer ${address} could not be reached (${error.rawMessage}); check that it runs at this address.`,
            };
        default:
            return {
                kind: PeerErrorKind.Failed,
                message: `Peer ${address} failed to handle the call (${error.rawMessage}); see its log.`,
            };
    }
}
