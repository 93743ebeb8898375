import type { Socket } from "node:net";
import { RawEndpoint } from "../network/rawEndpoint.ts";
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
    private readonly endpoint: RawEndpoint;

    private constructor(options: EndlessEndpointOptions, endpoint: RawEndpoint) {
        this.options = options;
        this.endpoint = endpoint;
        endpoint.options = {
            onRequest: (socket, request) => this.answer(socket, requestIdPattern.exec(request)?.[1] ?? ""),
        };
    }

    /** Starts an endpoint on a free port of the loopback address. */
    static async create(options: EndlessEndpointOptions): Promise<EndlessEndpoint> {
        return new EndlessEndpoint(options, await RawEndpoint.create());
    }

    /** Gets the address as host:port. */
    getAddress(): string {
        return this.endpoint.getAddress();
    }

    /** Closes all connections. */
    close(): Promise<void> {
        return this.endpoint.close();
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
