import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createClientError } from "./createClientError.ts";
import { createErrorBody } from "./createErrorBody.ts";

/** A request whose response has not been sent completely. */
interface OpenRequest {
    request: IncomingMessage;
    response: ServerResponse;
    controller: AbortController;
}

/** State of one connection. */
interface CallerConnection {
    requests: Set<OpenRequest>;
    /** Whether a parse error or a timeout occurred, so that the connection closes after its pending responses. */
    isBroken: boolean;
    /** Whether an answer was begun that closes the connection, so that later requests on it get none. */
    isEnding: boolean;
}

/** Time for which a connection stays open after its last error, so that the caller can read it. */
const lingerMilliseconds = 500;

/**
 * Tracks the requests of each open connection. When a caller disconnects, all its requests are aborted, including
 * pipelined ones whose responses wait for others. When a caller sends invalid bytes, the error doesn't replace a
 * pending response.
 */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    private constructor() {}

    /** Creates an empty tracker. */
    static create(): CallerConnections {
        return new CallerConnections();
    }

    /**
     * Adds a request. It is removed when its response is sent.
     * @returns A signal that aborts if the caller disconnects before.
     */
    add(request: IncomingMessage, response: ServerResponse): AbortSignal {
        const openRequest = { request, response, controller: new AbortController() };
        this.getConnection(request.socket).requests.add(openRequest);
        response.once("finish", () => this.remove(openRequest));
        return openRequest.controller.signal;
    }

    /** Checks if no request was received after the given one on its connection. */
    isLatest(request: IncomingMessage): boolean {
        return [...this.getConnection(request.socket).requests].at(-1)?.request === request;
    }

    /** Records that the answer to a request, which is being begun, closes its connection. */
    startEnding({ socket }: IncomingMessage): void {
        this.getConnection(socket).isEnding = true;
    }

    /** Checks if a request was received after an answer was begun that closes its connection. */
    isTooLate({ socket }: IncomingMessage): boolean {
        return this.getConnection(socket).isEnding;
    }

    /**
     * Responds to a parse error or a timeout with an error and closes the connection. If responses to earlier requests
     * are pending, the connection closes after the last of them instead.
     * @param error - Error of the HTTP parser, or the timeout.
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
        const connection: CallerConnection = { requests: new Set(), isBroken: false, isEnding: false };
        this.connections.set(socket, connection);
        // A caller that has closed its side is treated as disconnected. The connection itself closes some time later.
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
