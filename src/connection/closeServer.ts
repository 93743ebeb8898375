import type { Server, Socket } from "node:net";

/** Stops listening and closes all connections of a server. */
export async function closeServer(server: Server, sockets: Iterable<Socket>): Promise<void> {
    await new Promise(resolve => {
        server.close(resolve);
        for (const socket of sockets) {
            socket.destroy();
        }
    });
}
