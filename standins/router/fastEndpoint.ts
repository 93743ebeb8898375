import type { Socket } from "node:net";
import { RawEndpoint } from "../network/rawEndpoint.ts";

/** What a {@link FastEndpoint} answers. */
interface FastEndpointOptions {
    /** Size of an event. */
    eventBytes: number;
    /** Number of events of an answer. */
    eventCount: number;
}

/** Stand-in for an endpoint that sends whole streams as fast as its callers take them. */
export class FastEndpoint {
    /** Number of answers that were begun. */
    started = 0;
    private readonly options: FastEndpointOptions;
    private readonly endpoint: RawEndpoint;
    /** Connections on which an answer is being sent, with what was written on them before it. */
    private readonly running = new Map<Socket, number>();

    private constructor(options: FastEndpointOptions, endpoint: RawEndpoint) {
        this.options = options;
        this.endpoint = endpoint;
        endpoint.options = { onRequest: (socket, request) => this.handle(socket, request) };
    }

    /** Starts an endpoint on a free port of the loopback address. */
    static async create(options: FastEndpointOptions): Promise<FastEndpoint> {
        return new FastEndpoint(options, await RawEndpoint.create());
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return this.endpoint.getAddress();
    }

    /** Gets the number of answers that are not sent completely. */
    countRunning(): number {
        return this.running.size;
    }

    /** Gets the size of what was sent of the answers that are not sent completely, in bytes. */
    countUnfinishedBytes(): number {
        let bytes = 0;
        for (const [socket, before] of this.running) {
            bytes += socket.bytesWritten - before;
        }
        return bytes;
    }

    /** Closes all connections. */
    close(): Promise<void> {
        return this.endpoint.close();
    }

    private handle(socket: Socket, request: string): void {
        if (!request.startsWith("POST ")) {
            socket.write("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        const id = /^request-id: *([^\r]*)\r$/im.exec(request)?.[1] ?? "";
        const lastId = Number(/^last-event-id: *(\d+)\r$/im.exec(request)?.[1] ?? 0);
        this.started += 1;
        this.running.set(socket, socket.bytesWritten);
        socket.once("close", () => this.running.delete(socket));
        const fields = [`request-id: ${id}`, "response-seal: seal", "content-type: text/event-stream"];
        socket.write(`HTTP/1.1 200 OK\r\n${fields.join("\r\n")}\r\ntransfer-encoding: chunked\r\n\r\n`);
        this.sendFrom(socket, lastId + 1);
    }

    private sendFrom(socket: Socket, firstId: number): void {
        const { eventBytes, eventCount } = this.options;
        for (let id = firstId; id <= eventCount && !socket.destroyed; id++) {
            const event = `id: ${id}\ndata: ${"x".repeat(eventBytes)}\n\n`;
            if (!socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)) {
                socket.once("drain", () => this.sendFrom(socket, id + 1));
                return;
            }
        }
        if (!socket.destroyed) {
            this.running.delete(socket);
            socket.write("0\r\n\r\n");
        }
    }
}
