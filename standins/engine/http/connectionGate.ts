import type { Socket } from "node:net";

/**
 * Injects connection faults: runs the actions of a connection, defers them while the process is frozen, or drops them
 * on silent connections, as a network device that has lost the connection's state does.
 */
export class ConnectionGate {
    private readonly openSockets = new Set<Socket>();
    private readonly silentSockets = new WeakSet<Socket>();
    private deferredActions: { socket: Socket; action: () => void; }[] = [];
    private isFrozen = false;

    private constructor() {}

    /** Creates a gate without faults. */
    static create(): ConnectionGate {
        return new ConnectionGate();
    }

    /** Tracks a connection until it closes. */
    addConnection(socket: Socket): void {
        this.openSockets.add(socket);
        socket.on("close", () => this.openSockets.delete(socket));
        socket.on("error", () => socket.destroy());
    }

    /** Runs an action at once, after the connections are unfrozen, or never if the connection is silent. */
    run(socket: Socket, action: () => void): void {
        if (this.silentSockets.has(socket)) {
            return;
        }
        if (this.isFrozen) {
            this.deferredActions.push({ socket, action });
            return;
        }
        action();
    }

    /** Freezes all connections, or unfreezes them and runs the deferred actions in order. */
    setFrozen(isFrozen: boolean): void {
        this.isFrozen = isFrozen;
        if (isFrozen) {
            return;
        }
        const deferredActions = this.deferredActions;
        this.deferredActions = [];
        for (const { socket, action } of deferredActions) {
            this.run(socket, action);
        }
    }

    /** Permanently silences the open connections. New connections work. */
    silenceOpenConnections(): void {
        for (const socket of this.openSockets) {
            this.silentSockets.add(socket);
        }
    }

    /** Closes all connections. */
    closeAll(): void {
        this.deferredActions = [];
        for (const socket of this.openSockets) {
            socket.destroy();
        }
    }
}
