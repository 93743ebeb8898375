import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { closeServer } from "../../src/connection/closeServer.ts";

/** Handles a complete request. */
type RequestHandler = (socket: Socket, request: string) => void;

/** Options of a {@link RawEndpoint}. */
interface RawEndpointOptions {
    /** Called when a connection opens. */
    onConnection?: (socket: Socket) => void;
    /** Called with each complete request. */
    onRequest?: RequestHandler;
}

/** An endpoint that answers with raw bytes of the test. */
export class RawEndpoint {
    /** Heads and bodies of the complete requests. */
    readonly requests: string[] = [];
    connections = 0;
    /** Current behavior. Tests can replace it. */
    options: RawEndpointOptions;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(options: RawEndpointOptions) {
        this.options = options;
        this.server = createServer(socket => this.handleConnection(socket));
    }

    /** Starts listening. */
    static async create(options: RawEndpointOptions = {}): Promise<RawEndpoint> {
        const endpoint = new RawEndpoint(options);
        endpoint.server.listen(0, "127.0.0.1");
        await once(endpoint.server, "listening");
        return endpoint;
    }

    /** Gets the address that the endpoint listens on, as host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Closes all connections. */
    close(): Promise<void> {
        return closeServer(this.server, this.sockets);
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
