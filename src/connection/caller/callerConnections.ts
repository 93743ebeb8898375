import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createClientError } from "./createClientError.ts";
import { createErrorBody } from "./createErrorBody.ts";

/** One request on a connection, until its answer has been taken. */
interface OpenRequest {
    request: IncomingMessage;
    response: ServerResponse;
    controller: AbortController;
}

/** What is known of one connection. */
interface CallerConnection {
    requests: Set<OpenRequest>;
    /** Whether bytes came that are no request, so that the connection ends with the answers that are due on it. */
    isBroken: boolean;
}

/** How long a caller may take to read the last error of its connection, in milliseconds. */
const lingerMilliseconds = 500;

/**
 * The requests of each open connection, so that all of them end when the caller goes away, also those whose answers wait
 * behind others, and so that bytes that are no request do not take the place of an answer that is due.
 */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    private constructor() {}

    /** Creates the record of a server that has no connections. */
    static create(): CallerConnections {
        return new CallerConnections();
    }

    /**
     * Notes that a request has begun; it ends with its response.
     * @returns A signal that aborts when the caller leaves before.
     */
    add(request: IncomingMessage, response: ServerResponse): AbortSignal {
        const openRequest = { request, response, controller: new AbortController() };
        this.getConnection(request.socket).requests.add(openRequest);
        response.once("finish", () => this.remove(openRequest));
        return openRequest.controller.signal;
    }

    /**
     * Answers bytes that are no request with an error and closes the connection. Where answers are due to requests before
     * them, the connection ends with the last of these instead.
     * @param error - What the HTTP parser has found, or that the time is over.
     */
    handleClientError(error: Error & { code?: string; }, socket: Socket): void {
        const connection = this.getConnection(socket);
        if (connection.isBroken) {
            return;
        }
        connection.isBroken = true;
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        for (const { request, response } of connection.requests) {
            if (request.complete || response.headersSent) {
                return;
            }
        }
        sendError(error.code, socket);
        abort(connection);
    }

    private remove(openRequest: OpenRequest): void {
        const { socket } = openRequest.request;
        const connection = this.getConnection(socket);
        connection.requests.delete(openRequest);
        if (connection.isBroken && connection.requests.size === 0) {
            socket.destroySoon();
        }
    }

    private getConnection(socket: Socket): CallerConnection {
        const known = this.connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection: CallerConnection = { requests: new Set(), isBroken: false };
        this.connections.set(socket, connection);
        // A caller that has ended its side gets no answer any more; the connection closes by itself, some time later.
        socket.once("end", () => abort(connection));
        socket.once("close", () => abort(connection));
        return connection;
    }
}

function abort(connection: CallerConnection): void {
    for (const { controller } of connection.requests) {
        controller.abort();
    }
}

function sendError(code: string | undefined, socket: Socket): void {
    const error = createClientError(code);
    const body = JSON.stringify(createErrorBody(error));
    const head = [
        `HTTP/1.1 ${error.status} ${error.code}`,
        "connection: close",
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
    const timer = setTimeout(() => socket.destroy(), lingerMilliseconds);
    socket.once("close", () => clearTimeout(timer));
}
