import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** What a raw endpoint does with a whole request, or with a connection before any byte of it. */
type Handle = (socket: Socket, request: string) => void;

/** Options of a {@link RawEndpoint}. */
interface RawEndpointOptions {
    /** Called when a connection has come. */
    onConnection?: (socket: Socket) => void;
    /** Called with each whole request. */
    onRequest?: Handle;
}

/** An endpoint that answers with bytes of a test's own. */
export class RawEndpoint {
    /** Heads and bodies of the requests that came whole. */
    readonly requests: string[] = [];
    connections = 0;
    /** What it does from now on. */
    options: RawEndpointOptions;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(options: RawEndpointOptions) {
        this.options = options;
        this.server = createServer(socket => this.handleConnection(socket));
    }

    /** Starts to listen. */
    static async create(options: RawEndpointOptions = {}): Promise<RawEndpoint> {
        const endpoint = new RawEndpoint(options);
        endpoint.server.listen(0, "127.0.0.1");
        await once(endpoint.server, "listening");
        return endpoint;
    }

    /** Gets the host:port that it listens on. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    private handleConnection(socket: Socket): void {
        let pending = "";
        this.connections += 1;
        this.sockets.add(socket);
        socket.setEncoding("latin1");
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", text => {
            pending += String(text);
            const head = /^[^]*?\r\n\r\n/.exec(pending)?.[0];
            const bodyLength = Number(/content-length: (\d+)/i.exec(head ?? "")?.[1] ?? 0);
            if (head !== undefined && pending.length >= head.length + bodyLength) {
                const request = pending.slice(0, head.length + bodyLength);
                pending = pending.slice(request.length);
                this.requests.push(request);
                this.options.onRequest?.(socket, request);
            }
        });
        this.options.onConnection?.(socket);
    }
}
