import type { Duplex } from "node:stream";

/** An open connection to an endpoint. */
export interface OpenedSocket {
    socket: Duplex;
    /** Address of the peer that the connection goes through; undefined if it is direct. */
    peer: string | undefined;
}
