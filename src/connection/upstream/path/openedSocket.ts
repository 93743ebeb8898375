import type { ReceivingSocket } from "./receivingSocket.ts";

/** An open connection to an endpoint. */
export interface OpenedSocket {
    socket: ReceivingSocket;
    /** Address of the peer that the connection goes through; undefined if it is direct. */
    peer: string | undefined;
}
