import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../../src/process/settings/parseAddress.ts";
import { DelayQueue } from "./delayQueue.ts";
import { ProxyMode } from "./proxyMode.ts";

/** Less than the time of two health checks of a load balancer, so that a delayed target is slow but not considered dead. */
const delayMilliseconds = 300;
const host = "127.0.0.1";

/** The two sockets of a proxied connection. */
interface ProxiedPair {
    caller: Socket;
    target: Socket;
}

/**
 * TCP proxy that injects faults into the connections to one listener on the loopback address. A frozen connection stays
 * open without forwarding any data, as with a network device that has lost the connection's state.
 */
export class LoopbackProxy {
    private readonly server: Server;
    private readonly getTargetAddress: () => string;
    private readonly pairs = new Set<ProxiedPair>();
    private mode: ProxyMode = ProxyMode.Pass;
    private freezesNewConnections = false;
    private byteCount = 0;
    private port: number;

    private constructor(getTargetAddress: () => string, port: number) {
        this.getTargetAddress = getTargetAddress;
        this.port = port;
        this.server = createServer(caller => this.accept(caller));
    }

    /**
     * Starts a proxy on the loopback address.
     * @param getTargetAddress - Gets the target as host:port. Called for each new connection.
     * @param port - Port to listen on. Default: a free one.
     */
    static async create(getTargetAddress: () => string, port = 0): Promise<LoopbackProxy> {
        const proxy = new LoopbackProxy(getTargetAddress, port);
        await proxy.listen();
        return proxy;
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return `${host}:${this.port}`;
    }

    /** Accepts connections, also after {@link LoopbackProxy.refuseConnections}. */
    async listen(): Promise<void> {
        if (this.server.listening) {
            return;
        }
        this.server.listen(this.port, host);
        await once(this.server, "listening");
        this.port = (this.server.address() as AddressInfo).port;
    }

    /** Refuses new connections, as a machine does on whose port no process listens. Open ones are not affected. */
    refuseConnections(): void {
        this.server.close();
    }

    /** Gets the number of forwarded bytes in both directions. */
    getByteCount(): number {
        return this.byteCount;
    }

    /** Gets the number of open connections. */
    getConnectionCount(): number {
        return this.pairs.size;
    }

    /** Sets the fault mode of open and new connections. */
    setMode(mode: ProxyMode): void {
        const hasLostBytes = this.mode !== ProxyMode.Pass && this.mode !== ProxyMode.Delay;
        this.mode = mode;
        if (mode === ProxyMode.Reset || hasLostBytes) {
            // Reset connections that lost bytes, because TCP never delivers a stream with a gap.
            this.resetConnections();
        }
    }

    /** Resets the open connections. New connections are not affected. */
    resetConnections(): void {
        for (const { caller, target } of this.pairs) {
            reset(caller);
            reset(target);
        }
    }

    /** Closes the open connections. New connections are not affected. */
    closeConnections(): void {
        for (const { caller, target } of this.pairs) {
            caller.destroy();
            target.destroy();
        }
    }

    /** Freezes the open connections. New connections are not affected. */
    freezeConnections(): void {
        for (const { caller, target } of this.pairs) {
            caller.pause();
            target.pause();
        }
    }

    /** Freezes the open connections and all new ones. */
    freezeAllConnections(): void {
        this.freezesNewConnections = true;
        this.freezeConnections();
    }

    /** Stops the proxy and closes all connections. */
    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.closeConnections();
        await closed;
    }

    private accept(caller: Socket): void {
        if (this.mode === ProxyMode.Reset) {
            caller.on("error", () => undefined);
            caller.resetAndDestroy();
            return;
        }
        const target = connect(parseAddress(this.getTargetAddress())!, () => {
            // If nothing listens on the target port, the system may choose it as the local port and connect the socket to itself.
            if (target.localPort === target.remotePort) {
                reset(target);
                reset(caller);
            }
        });
        const pair = { caller, target };
        this.pairs.add(pair);
        this.pipe(caller, target, ProxyMode.CutRequests);
        this.pipe(target, caller, ProxyMode.CutAnswers);
        for (const socket of [caller, target]) {
            socket.setNoDelay(true);
            // If one direction is cut, one socket stays open after the other has closed.
            socket.once("close", () => {
                if (caller.destroyed && target.destroyed) {
                    this.pairs.delete(pair);
                }
            });
        }
        if (this.freezesNewConnections) {
            caller.pause();
            target.pause();
        }
    }

    /** Forwards bytes in one direction, except in the mode that cuts this direction. */
    private pipe(from: Socket, to: Socket, cutMode: ProxyMode): void {
        const queue = DelayQueue.create();
        const forward = (action: () => void) => {
            if (this.mode !== cutMode && this.mode !== ProxyMode.Silence) {
                queue.add(this.mode === ProxyMode.Delay ? delayMilliseconds : 0, action);
            }
        };
        from.on("data", (bytes: Buffer) => forward(() => this.write(to, bytes)));
        from.on("end", () => forward(() => to.end()));
        // Forward a reset as a reset, so that it is not mistaken for a regular end of the stream.
        from.on("error", () => reset(to));
    }

    private write(to: Socket, bytes: Buffer): void {
        if (to.writable) {
            this.byteCount += bytes.length;
            to.write(bytes);
        }
    }
}

/** Resets a connection. A connection that is already ending is destroyed, since a reset would make Node.js hang at exit. */
function reset(socket: Socket): void {
    if (socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
}
