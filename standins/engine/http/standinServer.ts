import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ConnectionGate } from "./connectionGate.ts";
import { StandinExchange } from "./standinExchange.ts";

const maximumBodyBytes = 16 * 1024 * 1024;

/** Options of {@link StandinServer}. */
interface StandinServerOptions {
    /** TCP port on 127.0.0.1; 0 for any free port. */
    port: number;
    /** One-way delay of requests and responses, in milliseconds. */
    hopDelayMilliseconds: number;
    /** Handles a request. A thrown error results in status 500. */
    handle(exchange: StandinExchange): void;
}

/** HTTP/1.1 server on 127.0.0.1 whose connections can be frozen or silenced. Faults don't affect paths below `/standin/`. */
export class StandinServer {
    /** Injects connection faults. */
    readonly gate = ConnectionGate.create();
    private readonly server: Server;
    private readonly options: StandinServerOptions;

    private constructor(options: StandinServerOptions) {
        this.options = options;
        this.server = createServer((request, response) => this.receiveRequest(request, response));
        this.server.requestTimeout = 0;
        this.server.headersTimeout = 0;
        this.server.keepAliveTimeout = 0;
        this.server.on("connection", socket => this.gate.addConnection(socket));
        this.server.on("clientError", (_error, socket) => socket.destroy());
    }

    /** Creates a server. Call `listen` to start it. */
    static create(options: StandinServerOptions): StandinServer {
        return new StandinServer(options);
    }

    /** Starts listening. */
    listen(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, "127.0.0.1", () => resolve());
        });
    }

    /** Closes the server and all its connections. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.gate.closeAll();
        });
    }

    /** Gets the host:port that the server listens on. */
    getAddress(): string {
        const address = this.server.address() as AddressInfo | null;
        if (!address) {
            throw new Error("The stand-in is not listening. Call listen() first.");
        }
        return `127.0.0.1:${address.port}`;
    }

    private receiveRequest(request: IncomingMessage, response: ServerResponse): void {
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("error", () => request.socket.destroy());
        response.on("error", () => request.socket.destroy());
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= maximumBodyBytes) {
                chunks.push(chunk);
            }
            else {
                chunks.length = 0;
            }
        });
        request.on("end", () => {
            this.dispatch(request, response, bytes <= maximumBodyBytes ? Buffer.concat(chunks) : undefined);
        });
    }

    /** Handles a request after the network delay, subject to the faults of the gate. */
    private dispatch(request: IncomingMessage, response: ServerResponse, body: Buffer | undefined): void {
        const { hopDelayMilliseconds } = this.options;
        const isControl = request.url?.startsWith("/standin/") ?? false;
        const gate = this.gate;
        const exchange = StandinExchange.create({
            request,
            response,
            body: body ?? Buffer.alloc(0),
            gate,
            hopDelayMilliseconds,
            isControl,
        });
        const handle = () => body ? this.handle(exchange) : sendTooLarge(exchange);
        if (isControl) {
            handle();
        }
        else if (hopDelayMilliseconds > 0) {
            setTimeout(() => gate.run(request.socket, handle), hopDelayMilliseconds);
        }
        else {
            gate.run(request.socket, handle);
        }
    }

    private handle(exchange: StandinExchange): void {
        try {
            this.options.handle(exchange);
        }
        catch (error) {
            exchange.sendJson(500, { error: `The stand-in failed: ${String(error)}` });
        }
    }
}

function sendTooLarge(exchange: StandinExchange): void {
    exchange.sendJson(413, { error: `The body is too large. Send at most ${maximumBodyBytes} bytes.` });
}
