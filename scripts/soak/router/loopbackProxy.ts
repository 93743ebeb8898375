import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** What a proxy does with the bytes that pass it. */
export const proxyModes = {
    pass: "pass",
    /** All bytes come later. */
    delay: "delay",
    /** Open and new connections are reset. */
    reset: "reset",
    /** What the caller sends is lost; what the other side sends still arrives. */
    cutRequests: "cutRequests",
    /** What the other side sends is lost. */
    cutAnswers: "cutAnswers",
    /** Nothing arrives on either side, and connections stay open. */
    silence: "silence",
} as const;

/** One of {@link proxyModes}. */
export type ProxyMode = (typeof proxyModes)[keyof typeof proxyModes];

/** Of a delay; under the two checks of a balancer, so that a delayed part counts as slow and not as dead. */
const delayMilliseconds = 300;

/** The two ends of a connection that goes through a proxy. */
interface ProxiedPair {
    caller: Socket;
    target: Socket;
}

/** Stands before one listener on the loopback address and harms the connections to it. */
export class LoopbackProxy {
    private readonly server: Server;
    private readonly pairs = new Set<ProxiedPair>();
    private targetPort: number;
    private mode: ProxyMode = proxyModes.pass;

    private constructor(targetPort: number) {
        this.targetPort = targetPort;
        this.server = createServer(caller => this.accept(caller));
    }

    /** Starts a proxy on a free port of the loopback address. */
    static async create(targetPort: number): Promise<LoopbackProxy> {
        const proxy = new LoopbackProxy(targetPort);
        await new Promise<void>(resolve => proxy.server.listen(0, "127.0.0.1", resolve));
        return proxy;
    }

    /** Gets host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Sends new connections to another port, and ends those that are open. */
    setTarget(port: number): void {
        this.targetPort = port;
        this.resetAll();
    }

    /** Changes what happens to open and new connections. */
    setMode(mode: ProxyMode): void {
        const hasLostBytes = this.mode !== proxyModes.pass && this.mode !== proxyModes.delay;
        this.mode = mode;
        if (mode === proxyModes.reset || hasLostBytes) {
            // A connection that has lost bytes would go on with a hole in it, which no network does.
            this.resetAll();
        }
    }

    /** Stops, with all connections. */
    async close(): Promise<void> {
        this.resetAll();
        await new Promise(resolve => this.server.close(resolve));
    }

    private resetAll(): void {
        for (const { caller, target } of this.pairs) {
            reset(caller);
            reset(target);
        }
        this.pairs.clear();
    }

    private accept(caller: Socket): void {
        if (this.mode === proxyModes.reset) {
            caller.on("error", () => undefined);
            reset(caller);
            return;
        }
        const target = connect(this.targetPort, "127.0.0.1", () => {
            // The system may give the connection the port that nobody listens on, and join it to itself.
            if (target.localPort === target.remotePort) {
                reset(target);
                reset(caller);
            }
        });
        const pair = { caller, target };
        this.pairs.add(pair);
        this.pipe(caller, target, proxyModes.cutRequests);
        this.pipe(target, caller, proxyModes.cutAnswers);
        for (const socket of [caller, target]) {
            socket.setNoDelay(true);
            // Where the way is cut, one end stays open after the other has closed.
            socket.once("close", () => {
                if (caller.destroyed && target.destroyed) {
                    this.pairs.delete(pair);
                }
            });
        }
    }

    /** Passes bytes on in one direction, which one of the modes cuts. */
    private pipe(from: Socket, to: Socket, cuttingMode: ProxyMode): void {
        const pass = (act: () => void) => {
            if (this.mode === cuttingMode || this.mode === proxyModes.silence) {
                return;
            }
            if (this.mode === proxyModes.delay) {
                setTimeout(act, delayMilliseconds);
                return;
            }
            act();
        };
        from.on("data", (bytes: Buffer) => pass(() => to.writable && to.write(bytes)));
        from.on("end", () => pass(() => to.end()));
        // A reset is handed on as a reset, so that it is not taken for a proper end.
        from.on("error", () => reset(to));
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
