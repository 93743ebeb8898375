import type { Server } from "node:http";
import type { Socket } from "node:net";
import { closeInStages } from "./closeInStages.ts";

/**
 * Has a server close the connections of callers in stages after their last answer.
 * @param server - The server. Node.js ends a connection after its last answer with `destroySoon`.
 * @param onClosing - Called when a connection begins to close.
 */
export function closeConnectionsInStages(server: Server, onClosing: (socket: Socket) => void): void {
    const watch = (socket: Socket) => {
        let isClosing = false;
        socket.destroySoon = () => {
            if (!isClosing && !socket.destroyed) {
                isClosing = true;
                closeInStages(socket);
                onClosing(socket);
            }
        };
    };
    server.on("connection", watch);
    server.on("secureConnection", watch);
}
