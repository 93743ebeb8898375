import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { RequestError } from "../../request/requestError.ts";
import { closeInStages } from "./closeInStages.ts";
import { createClientError } from "./createClientError.ts";
import { createErrorBody } from "./createErrorBody.ts";
import { drainBody } from "./drainBody.ts";
import { hasUnreadBody } from "./hasUnreadBody.ts";
import { UnansweredReason } from "./unansweredReason.ts";
import { UnansweredRequests } from "./unansweredRequests.ts";

/** Options of {@link CallerConnections}. */
interface CallerConnectionsOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    /** Log of the requests that get neither an answer nor a refusal. */
    log: EventLog;
}

/** A request whose response has not been sent completely. */
interface OpenRequest {
    request: IncomingMessage;
    response: ServerResponse;
    controller: AbortController;
    /** Monotonic time of its arrival, in milliseconds. */
    arrivedAt: number;
    /** Writes its whole response, which waits for its turn. */
    writeResponse: (() => void) | undefined;
    /** Called when the rest of the request can't be received. */
    onBroken: ((error: RequestError) => void) | undefined;
}

/** State of one connection. */
interface CallerConnection {
    requests: Set<OpenRequest>;
    /** Whether a parse error or a timeout occurred, so that the connection closes after its pending responses. */
    isBroken: boolean;
    /** Whether an answer is being sent that closes the connection, so that later requests on it get none. */
    isEnding: boolean;
    /** Why the connection closes, as far as this side caused it. */
    reason: UnansweredReason;
    /** Whether the caller closed the connection while responses were pending. */
    hasCallerLeft: boolean;
    /** Requests that were dropped. */
    unanswered: UnansweredRequests;
}

/**
 * Tracks the requests of each open connection. When a caller disconnects, all its requests are aborted, including
 * pipelined ones whose responses wait for others. When a caller sends invalid bytes, the error doesn't replace a
 * pending response.
 */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    private readonly options: CallerConnectionsOptions;
    /** Delays answers that may close their connection until pending input is read, which may contain another request. */
    private readonly barrier = InputBarrier.create();

    private constructor(options: CallerConnectionsOptions) {
        this.options = options;
    }

    /** Creates an empty tracker. */
    static create(options: CallerConnectionsOptions): CallerConnections {
        return new CallerConnections(options);
    }

    /**
     * Adds a request. It is removed when its response is sent.
     * @returns A signal that aborts if the caller disconnects before.
     */
    add(request: IncomingMessage, response: ServerResponse): AbortSignal {
        const openRequest: OpenRequest = {
            request,
            response,
            controller: new AbortController(),
            arrivedAt: this.options.clock.getMonotonicTime(),
            writeResponse: undefined,
            onBroken: undefined,
        };
        const { requests } = this.getConnection(request.socket);
        const latest = getLatest(requests);
        requests.add(openRequest);
        if (latest !== undefined) {
            writeWaiting(latest);
        }
        response.once("finish", () => this.remove(openRequest));
        return openRequest.controller.signal;
    }

    /** Checks if no request was received after the given one on its connection. */
    isLatest(request: IncomingMessage): boolean {
        return getLatest(this.getConnection(request.socket).requests)?.request === request;
    }

    /**
     * Registers a callback for when the rest of a request can't be received, although its connection is still open, since responses to
     * earlier requests are pending.
     */
    onBroken(request: IncomingMessage, callback: (error: RequestError) => void): void {
        const latest = getLatest(this.getConnection(request.socket).requests);
        if (latest?.request === request) {
            latest.onBroken = callback;
        }
    }

    /**
     * Writes a whole response that would close its connection as soon as it is known if it does: when the responses before it are sent and
     * what has arrived until then is read, or when another request is received behind it. If its own request isn't received completely, the
     * rest is read and discarded, and nothing else is waited for once its turn has come.
     * @param request - The caller's request.
     * @param write - Writes the response.
     */
    writeInTurn(request: IncomingMessage, write: () => void): void {
        for (const openRequest of this.getConnection(request.socket).requests) {
            if (openRequest.request === request) {
                openRequest.writeResponse = write;
                if (!hasUnreadBody(request)) {
                    this.writeInItsTurn(openRequest);
                }
                else if (openRequest.response.socket === null) {
                    void drainBody(request);
                }
                else {
                    writeWaiting(openRequest);
                }
                return;
            }
        }
    }

    /** Records that the answer to a request, which is being sent, closes its connection. */
    startEnding({ socket }: IncomingMessage): void {
        const connection = this.getConnection(socket);
        connection.isEnding = true;
        connection.reason = UnansweredReason.AnnouncedClose;
    }

    /** Checks if a request was received after an answer was begun that closes its connection. */
    isTooLate({ socket }: IncomingMessage): boolean {
        return this.getConnection(socket).isEnding;
    }

    /** Records that a request is dropped, since it came too late. It is logged when its connection closes. */
    drop(request: IncomingMessage): void {
        const { unanswered } = this.getConnection(request.socket);
        unanswered.add(request, this.options.clock.getMonotonicTime());
        // Its body is discarded: unread bytes would reset the connection.
        request.resume();
    }

    /** Records that the response to a request is being aborted, which closes its connection. */
    noteAbort({ socket }: IncomingMessage): void {
        this.getConnection(socket).reason = UnansweredReason.AbortedAnswer;
    }

    /**
     * Responds to a parse error or a timeout with an error and closes the connection. If responses to earlier requests
     * are pending, the connection closes after the last of them instead, and a request that is incomplete is refused in its turn.
     * @param error - Error of the HTTP parser, or the timeout.
     */
    handleClientError(error: Error & { code?: string; }, socket: Socket): void {
        const connection = this.getConnection(socket);
        if (connection.isBroken) {
            return;
        }
        connection.isBroken = true;
        connection.reason = UnansweredReason.InvalidInput;
        if (!socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        for (const { request, response } of connection.requests) {
            if (request.complete || response.headersSent) {
                refuseIncomplete(connection, error.code);
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
        for (const next of connection.requests) {
            this.writeInItsTurn(next);
            break;
        }
        if (connection.isBroken && connection.requests.size === 0) {
            socket.destroySoon();
        }
    }

    /** Writes the response that waits, once the input that has arrived is read, if it is the first on its connection. */
    private writeInItsTurn(openRequest: OpenRequest): void {
        this.barrier.defer(() => {
            if (openRequest.response.socket !== null) {
                writeWaiting(openRequest);
            }
        });
    }

    private getConnection(socket: Socket): CallerConnection {
        const known = this.connections.get(socket);
        if (known !== undefined) {
            return known;
        }
        const connection: CallerConnection = {
            requests: new Set(),
            isBroken: false,
            isEnding: false,
            reason: UnansweredReason.Closed,
            hasCallerLeft: false,
            unanswered: UnansweredRequests.create(),
        };
        this.connections.set(socket, connection);
        // A caller that has closed its side is treated as disconnected. The connection itself closes some time later.
        socket.once("end", () => {
            connection.hasCallerLeft = connection.requests.size > 0;
            abort(connection);
        });
        socket.once("close", () => {
            connection.hasCallerLeft ||= socket.errored !== null;
            this.logUnanswered(connection);
            abort(connection);
        });
        return connection;
    }

    private logUnanswered({ requests, reason, hasCallerLeft, unanswered }: CallerConnection): void {
        if (hasCallerLeft) {
            return;
        }
        for (const openRequest of requests) {
            if (openRequest.request.complete && !isBeingSent(openRequest)) {
                unanswered.add(openRequest.request, openRequest.arrivedAt);
            }
        }
        unanswered.writeTo(this.options.log, reason, this.options.clock.getMonotonicTime());
    }
}

function getLatest(requests: ReadonlySet<OpenRequest>): OpenRequest | undefined {
    return [...requests].at(-1);
}

/** Writes the response that waits for its turn, if there is one and its caller is still there. */
function writeWaiting(openRequest: OpenRequest): void {
    const { writeResponse, controller } = openRequest;
    openRequest.writeResponse = undefined;
    if (!controller.signal.aborted) {
        writeResponse?.();
    }
}

/** Checks if the head of a response is written, and the response is the first on its connection. */
function isBeingSent({ response }: OpenRequest): boolean {
    return response.headersSent && response.socket !== null;
}

function refuseIncomplete({ requests }: CallerConnection, code: string | undefined): void {
    const latest = getLatest(requests);
    if (latest?.request.complete === false) {
        latest.onBroken?.(createClientError(code));
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
    closeInStages(socket);
}
