import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { EndlessForm } from "./endlessForm.ts";

/** A connection on which an endless answer was sent. */
interface EndlessConnection {
    /** Id of the request; empty for a report request. */
    requestId: string;
    /** Number of bytes that the connection has taken. */
    bytes: number;
    /** Time from the request to the end of the connection, in milliseconds; undefined while it is open. */
    milliseconds: number | undefined;
}

/** How the endpoint sends. */
interface EndlessEndpointOptions {
    form: EndlessForm;
    /** Interval between two repetitions, in milliseconds. Default: as fast as the connection takes them. */
    intervalMilliseconds?: number;
}

const requestIdPattern = /^request-id: *([^\r]*)\r$/im;

/** Stand-in for an endpoint that answers each request with bytes that never end, until its caller closes the connection. */
export class EndlessEndpoint {
    readonly connections: EndlessConnection[] = [];
    private readonly options: EndlessEndpointOptions;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    private constructor(options: EndlessEndpointOptions) {
        this.options = options;
        this.server = createServer(socket => this.accept(socket));
    }

    /** Starts an endpoint on a free port of the loopback address. */
    static async create(options: EndlessEndpointOptions): Promise<EndlessEndpoint> {
        const endpoint = new EndlessEndpoint(options);
        await new Promise<void>(resolve => endpoint.server.listen(0, "127.0.0.1", resolve));
        return endpoint;
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await new Promise(resolve => {
            this.server.close(resolve);
            for (const socket of this.sockets) {
                socket.destroy();
            }
        });
    }

    private accept(socket: Socket): void {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        socket.on("error", () => undefined);
        let head = "";
        const readHead = (chunk: Buffer) => {
            head += chunk.toString("latin1");
            if (head.includes("\r\n\r\n")) {
                socket.off("data", readHead);
                socket.resume();
                this.answer(socket, requestIdPattern.exec(head)?.[1] ?? "");
            }
        };
        socket.on("data", readHead);
    }

    private answer(socket: Socket, requestId: string): void {
        const { form, intervalMilliseconds } = this.options;
        const connection: EndlessConnection = { requestId, bytes: 0, milliseconds: undefined };
        const startedAt = performance.now();
        this.connections.push(connection);
        socket.once("close", () => {
            connection.bytes = socket.bytesWritten;
            connection.milliseconds = performance.now() - startedAt;
        });
        let count = 0;
        const send = () => {
            while (!socket.destroyed) {
                const isTaken = socket.write(form.createNext(count++));
                if (intervalMilliseconds !== undefined) {
                    setTimeout(send, intervalMilliseconds);
                    return;
                }
                if (!isTaken) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        socket.write(form.createStart(requestId));
        send();
    }
}
