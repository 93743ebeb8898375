import { createServer, type Server } from "node:net";

/**
 * Range of the ports to choose from. The system takes the ports of outgoing connections from above it, so that no process's connection
 * takes a port between this check and the start of the process that listens on it.
 */
const firstPort = 10_000;
const endPort = 32_000;
/** Ports that this process was given before: another part of it may be about to listen on them. */
const givenPorts = new Set<number>();

/**
 * Finds unused ports on the loopback address.
 * @param count - Number of ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
    const servers: Server[] = [];
    const ports: number[] = [];
    const size = endPort - firstPort;
    const start = Math.floor(Math.random() * size);
    for (let offset = 0; offset < size && ports.length < count; offset += 1) {
        const port = firstPort + (start + offset) % size;
        const server = givenPorts.has(port) ? undefined : await listen(port);
        if (server !== undefined) {
            givenPorts.add(port);
            ports.push(port);
            servers.push(server);
        }
    }
    for (const server of servers) {
        await new Promise(resolve => server.close(resolve));
    }
    if (ports.length < count) {
        throw new Error(`Only ${ports.length} of ${count} ports are unused; stop processes that listen on the others.`);
    }
    return ports;
}

/** Listens on a port; undefined if it is in use. */
function listen(port: number): Promise<Server | undefined> {
    const server = createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
