import { createServer, type Server } from "node:net";

/**
 * Finds unused ports on the loopback address.
 * @param count - Number of ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers: Server[] = [];
    const ports: number[] = [];
    for (let index = 0; index < count; index += 1) {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        ports.push((server.address() as { port: number; }).port);
        servers.push(server);
    }
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    return ports;
}
