import type { Socket } from "node:net";

/**
 * Decides what becomes of the traffic of each connection: it passes, waits while the process is frozen, or vanishes
 * where something between the two ends has lost track of the connection.
 */
export class ConnectionGate {
    private readonly open = new Set<Socket>();
    private readonly silent = new WeakSet<Socket>();
    private held: { socket: Socket; action: () => void; }[] = [];
    private frozen = false;

    private constructor() {}

    /** Creates a gate that lets everything pass. */
    static create(): ConnectionGate {
        return new ConnectionGate();
    }

    /** Adds a connection until it closes. */
    addConnection(socket: Socket): void {
        this.open.add(socket);
        socket.on("close", () => this.open.delete(socket));
        socket.on("error", () => socket.destroy());
    }

    /** Runs an action on a connection now, after the thaw, or never. */
    pass(socket: Socket, action: () => void): void {
        if (this.silent.has(socket)) {
            return;
        }
        if (this.frozen) {
            this.held.push({ socket, action });
            return;
        }
        action();
    }

    /** Freezes all connections, or thaws them and runs what they held, in its order. */
    setFrozen(frozen: boolean): void {
        this.frozen = frozen;
        if (frozen) {
            return;
        }
        const held = this.held;
        this.held = [];
        for (const { socket, action } of held) {
            this.pass(socket, action);
        }
    }

    /** Makes the connections that are open now silent for good; new ones work. */
    silenceOpenConnections(): void {
        for (const socket of this.open) {
            this.silent.add(socket);
        }
    }

    /** Closes all connections. */
    closeAll(): void {
        this.held = [];
        for (const socket of this.open) {
            socket.destroy();
        }
    }
}
