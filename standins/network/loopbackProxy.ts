import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { parseAddress } from "../../src/process/settings/parseAddress.ts";
import { DelayLine } from "./delayLine.ts";
import { ProxyMode } from "./proxyMode.ts";

/** Of a delay; under the two checks of a balancer, so that a delayed part counts as slow and not as dead. */
const delayMilliseconds = 300;

/** The two ends of a connection that goes through a proxy. */
interface ProxiedPair {
    caller: Socket;
    target: Socket;
}

/**
 * Stands before one listener on the loopback address and harms the connections to it. A frozen connection stays open and
 * passes nothing on, as where something between the two ends has lost track of it.
 */
export class LoopbackProxy {
    private readonly server: Server;
    private readonly getTargetAddress: () => string;
    private readonly pairs = new Set<ProxiedPair>();
    private mode: ProxyMode = ProxyMode.Pass;
    private isFreezingNew = false;
    private byteCount = 0;

    private constructor(getTargetAddress: () => string) {
        this.getTargetAddress = getTargetAddress;
        this.server = createServer(caller => this.accept(caller));
    }

    /**
     * Starts a proxy on a free port of the loopback address.
     * @param getTargetAddress - Gets the host:port to forward to, at each new connection.
     */
    static async create(getTargetAddress: () => string): Promise<LoopbackProxy> {
        const proxy = new LoopbackProxy(getTargetAddress);
        await new Promise<void>(resolve => proxy.server.listen(0, "127.0.0.1", resolve));
        return proxy;
    }

    /** Gets host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Gets the number of bytes passed on in both directions. */
    getByteCount(): number {
        return this.byteCount;
    }

    /** Gets the number of connections that are open. */
    getConnectionCount(): number {
        return this.pairs.size;
    }

    /** Changes what happens to open and new connections. */
    setMode(mode: ProxyMode): void {
        const hasLostBytes = this.mode !== ProxyMode.Pass && this.mode !== ProxyMode.Delay;
        this.mode = mode;
        if (mode === ProxyMode.Reset || hasLostBytes) {
            // A connection that has lost bytes would go on with a hole in it, which no network does.
            this.resetAll();
        }
    }

    /** Resets the present connections; new ones work. */
    resetAll(): void {
        for (const { caller, target } of this.pairs) {
            reset(caller);
            reset(target);
        }
    }

    /** Closes the present connections; new ones work. */
    cut(): void {
        for (const { caller, target } of this.pairs) {
            caller.destroy();
            target.destroy();
        }
    }

    /** Freezes the present connections; new ones work. */
    freeze(): void {
        for (const { caller, target } of this.pairs) {
            caller.pause();
            target.pause();
        }
    }

    /** Freezes the present connections and all new ones. */
    freezeAll(): void {
        this.isFreezingNew = true;
        this.freeze();
    }

    /** Stops, with all connections. */
    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.cut();
        await closed;
    }

    private accept(caller: Socket): void {
        if (this.mode === ProxyMode.Reset) {
            caller.on("error", () => undefined);
            caller.resetAndDestroy();
            return;
        }
        const target = connect(parseAddress(this.getTargetAddress())!, () => {
            // The system may give the connection the port that nobody listens on, and join it to itself.
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
            // Where the way is cut, one end stays open after the other has closed.
            socket.once("close", () => {
                if (caller.destroyed && target.destroyed) {
                    this.pairs.delete(pair);
                }
            });
        }
        if (this.isFreezingNew) {
            caller.pause();
            target.pause();
        }
    }

    /** Passes bytes on in one direction, which one of the modes cuts. */
    private pipe(from: Socket, to: Socket, cuttingMode: ProxyMode): void {
        const line = DelayLine.create();
        const pass = (act: () => void) => {
            if (this.mode !== cuttingMode && this.mode !== ProxyMode.Silence) {
                line.add(this.mode === ProxyMode.Delay ? delayMilliseconds : 0, act);
            }
        };
        from.on("data", (bytes: Buffer) => pass(() => this.write(to, bytes)));
        from.on("end", () => pass(() => to.end()));
        // A reset is handed on as a reset, so that it is not taken for a proper end.
        from.on("error", () => reset(to));
    }

    private write(to: Socket, bytes: Buffer): void {
        if (to.writable) {
            this.byteCount += bytes.length;
            to.write(bytes);
        }
    }
}

/** Resets a connection. One that is being ended already can't be: Node.js then waits for its handle for ever at exit. */
function reset(socket: Socket): void {
    if (socket.writableEnded) {
        socket.destroy();
        return;
    }
    socket.resetAndDestroy();
}
