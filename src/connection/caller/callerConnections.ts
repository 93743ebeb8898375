import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { MemoryAccount } from "../../process/memory/memoryAccount.ts";
import type { RequestError } from "../../request/requestError.ts";
import type { Result } from "../../result.ts";
import { CallerConnection } from "./callerConnection.ts";
import type { CallerExchange } from "./callerExchange.ts";
import { ConnectionReading } from "./connectionReading.ts";
import { createClientError } from "./createClientError.ts";
import { drainBody } from "./drainBody.ts";
import { hasUnreadBody } from "./hasUnreadBody.ts";
import { logUnanswered } from "./logUnanswered.ts";
import { maximumHeaderBytes } from "./maximumHeaderBytes.ts";
import { memoryEstimates } from "./memoryEstimates.ts";
import { OpenConnections } from "./openConnections.ts";
import { readBody } from "./readBody.ts";
import { releaseConnection } from "./releaseConnection.ts";
import { RequestAdmission } from "./requestAdmission.ts";
import { sendClientError } from "./sendClientError.ts";
import { UnansweredReason } from "./unansweredReason.ts";

/** Options of {@link CallerConnections}. */
interface CallerConnectionsOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    /** Log of the requests that get neither an answer nor a refusal, and of the connections that are closed for others. */
    log: EventLog;
    /** Account of what is held for the callers. */
    memory: Pick<MemoryAccount, "add" | "remove" | "note">;
    /** Maximum number of connections. One that is idle is closed for each further one. */
    maximumConnections: number;
    /** Requests of a connection that are handled at the same time; the others wait unhandled. Default: 32. */
    maximumRequestsPerConnection?: number;
}

const defaultMaximumRequestsPerConnection = 32;

/**
 * Tracks the open connections and their requests. When a caller disconnects, all its requests are aborted, including
 * pipelined ones whose responses wait for others. When a caller sends invalid bytes, the error doesn't replace a
 * pending response.
 */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();
    private readonly options: CallerConnectionsOptions;
    private readonly openConnections: OpenConnections;
    private readonly admission: RequestAdmission;
    /** Delays answers that may close their connection until pending input is read, which may contain another request. */
    private readonly barrier = InputBarrier.create();

    private constructor(options: CallerConnectionsOptions) {
        this.options = options;
        this.openConnections = OpenConnections.create(options);
        this.admission = RequestAdmission.create(
            options.maximumRequestsPerConnection ?? defaultMaximumRequestsPerConnection,
        );
    }

    /** Creates an empty tracker. */
    static create(options: CallerConnectionsOptions): CallerConnections {
        return new CallerConnections(options);
    }

    /** Adds a new connection. If there are too many, an idle one is closed. */
    open(socket: Socket): void {
        this.openConnections.makeRoomFor(this.getConnection(socket));
    }

    /**
     * Handles a request, at once or when earlier requests on its connection are answered.
     * @param request - The caller's request.
     * @param start - Handles it, and adds it with {@link add}. The argument is the monotonic time of its arrival, in milliseconds.
     */
    admit(request: IncomingMessage, start: (arrivedAt: number) => void): void {
        const connection = this.getConnection(request.socket);
        connection.noteRequest(request);
        const arrivedAt = this.getTime();
        if (!this.admission.admit(connection, request, arrivedAt, () => start(arrivedAt))) {
            writeWaitingOf(getLast(connection.exchanges));
            this.options.memory.note(memoryEstimates.waitingRequest);
        }
    }

    /** Handles all requests that wait for others, because no more are accepted and these are refused. */
    startWaiting(): void {
        for (const connection of this.openConnections.list()) {
            this.admission.startAll(connection);
        }
    }

    /**
     * Adds a request that is handled. It is removed when its response is sent.
     * @returns A signal that aborts if the caller disconnects before.
     */
    add(request: IncomingMessage, response: ServerResponse, arrivedAt = this.getTime()): AbortSignal {
        const exchange: CallerExchange = {
            request,
            response,
            controller: new AbortController(),
            arrivedAt,
            bodyBytes: 0,
            answerBytes: 0,
            writeResponse: undefined,
            onBroken: undefined,
        };
        const connection = this.getConnection(request.socket);
        const previous = getLast(connection.exchanges);
        if (connection.waiting.length === 0) {
            connection.noteRequest(request);
        }
        connection.exchanges.add(exchange);
        writeWaitingOf(previous);
        response.once("finish", () => this.remove(connection, exchange));
        this.options.memory.note(memoryEstimates.exchange);
        return exchange.controller.signal;
    }

    /** Checks if no request was received after the given one on its connection. */
    isLatest(request: IncomingMessage): boolean {
        return this.getConnection(request.socket).isLatest(request);
    }

    /**
     * Reads the body of a request into memory.
     * @param request - The caller's request.
     * @param response - Response to the request.
     * @param maximumBytes - Maximum size of the body.
     */
    readBody(
        request: IncomingMessage,
        response: ServerResponse,
        maximumBytes: number,
    ): Promise<Result<Buffer, RequestError>> {
        const exchange = this.findExchange(request);
        return readBody(request, response, {
            maximumBytes,
            onBroken: callback => {
                if (exchange !== undefined) {
                    exchange.onBroken = callback;
                }
            },
            onHeld: bytes => {
                if (exchange !== undefined && bytes > 0) {
                    exchange.bodyBytes += bytes;
                    this.options.memory.note(bytes);
                }
            },
        });
    }

    /** Notes that a part of the answer to a request is held until the caller takes it. */
    noteAnswerBytes(request: IncomingMessage, bytes: number): void {
        const exchange = this.findExchange(request);
        if (exchange !== undefined) {
            exchange.answerBytes += bytes;
            this.options.memory.note(bytes);
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
        const exchange = this.findExchange(request);
        if (exchange === undefined) {
            return;
        }
        exchange.writeResponse = write;
        if (!hasUnreadBody(request)) {
            this.writeInItsTurn(exchange);
        }
        else if (exchange.response.socket === null) {
            void drainBody(request);
        }
        else {
            writeWaitingOf(exchange);
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
        unanswered.add(request, this.getTime());
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
        for (const { request, response } of connection.exchanges) {
            if (request.complete || response.headersSent) {
                connection.findIncomplete()?.onBroken?.(createClientError(error.code));
                return;
            }
        }
        sendClientError(error.code, socket);
        abort(connection);
    }

    private remove(connection: CallerConnection, exchange: CallerExchange): void {
        connection.exchanges.delete(exchange);
        connection.noteAnswer(this.getTime());
        for (const next of connection.exchanges) {
            this.writeInItsTurn(next);
            break;
        }
        this.admission.startAllowed(connection);
        if (connection.isBroken && connection.isIdle()) {
            connection.socket.destroySoon();
        }
    }

    /** Writes the response that waits, once the input that has arrived is read, if it is the first on its connection. */
    private writeInItsTurn(exchange: CallerExchange): void {
        this.barrier.defer(() => {
            if (exchange.response.socket !== null) {
                writeWaitingOf(exchange);
            }
        });
    }

    private findExchange(request: IncomingMessage): CallerExchange | undefined {
        for (const exchange of this.getConnection(request.socket).exchanges) {
            if (exchange.request === request) {
                return exchange;
            }
        }
        return undefined;
    }

    private getConnection(socket: Socket): CallerConnection {
        return this.connections.get(socket) ?? this.addConnection(socket);
    }

    private addConnection(socket: Socket): CallerConnection {
        const { memory } = this.options;
        const connection = CallerConnection.create(socket, this.getTime());
        const holder = { measure: () => connection.measure(), release: () => releaseConnection(connection) };
        this.connections.set(socket, connection);
        this.openConnections.add(connection);
        ConnectionReading.of(socket).setTurnCallback(() => this.admission.startAllowed(connection));
        memory.add(holder);
        // A caller that has closed its side is treated as disconnected. The connection itself closes some time later.
        socket.once("end", () => {
            connection.hasCallerLeft = !connection.isIdle();
            abort(connection);
        });
        socket.once("close", () => {
            this.openConnections.remove(connection);
            memory.remove(holder);
            connection.hasCallerLeft ||= socket.errored !== null;
            logUnanswered(connection, this.options.log, this.getTime());
            connection.waiting.length = 0;
            abort(connection);
        });
        // What is received of a head is not noted by itself.
        memory.note(memoryEstimates.connection + maximumHeaderBytes);
        return connection;
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function getLast(exchanges: ReadonlySet<CallerExchange>): CallerExchange | undefined {
    return [...exchanges].at(-1);
}

/** Writes the response that waits for its turn, if there is one and its caller is still there. */
function writeWaitingOf(exchange: CallerExchange | undefined): void {
    if (exchange === undefined) {
        return;
    }
    const { writeResponse, controller } = exchange;
    exchange.writeResponse = undefined;
    if (!controller.signal.aborted) {
        writeResponse?.();
    }
}

function abort(connection: CallerConnection): void {
    for (const { controller } of connection.exchanges) {
        controller.abort();
    }
}
