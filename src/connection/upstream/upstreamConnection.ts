import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { EndpointAddress } from "../endpoint/endpointAddress.ts";
import { isFinalStatus } from "../isFinalStatus.ts";
import { bodyBoundsOfUse } from "./bodyBoundsOfUse.ts";
import { endsWithConnection } from "./endsWithConnection.ts";
import type { ConnectionPath } from "./path/connectionPath.ts";
import type { PathConnector } from "./path/pathConnector.ts";
import type { ReceivingSocket } from "./path/receivingSocket.ts";
import { ResponseBounds } from "./responseBounds.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import { UpstreamFailureKind } from "./upstreamFailureKind.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";
import { withheldFailure } from "./withheldFailure.ts";

/** Options of an {@link UpstreamConnection}. */
interface UpstreamConnectionOptions {
    /** host:port of the endpoint. */
    address: EndpointAddress;
    connector: PathConnector;
    /**
     * Delays the first request until all input that arrived while the connection opened is read, since that input may
     * abort the request.
     */
    barrier: Pick<InputBarrier, "defer">;
    /** Called when the connection is idle again. */
    onIdle(): void;
    /** Called when the connection is closed. */
    onClosed(): void;
}

/** Maximum time for which an idle connection is kept. The endpoint may announce a shorter one. */
const keepAliveMilliseconds = 60_000;
/**
 * An idle connection is closed this long before the endpoint would close it, so that no request is sent while it
 * closes.
 */
const keepAliveMarginMilliseconds = 600;

/** Code of the HTTP client for a request that it can't write, such as one with a header that holds a line feed. */
const invalidArgumentCode = "UND_ERR_INVALID_ARG";

const closePattern = /(^|,)\s*close\s*(,|$)/i;

/** An HTTP/1.1 connection to an endpoint, with at most one exchange at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly options: UpstreamConnectionOptions;
    private hasSocketFailed = false;
    private isClosed = false;
    /** Monotonic time in milliseconds at which the last exchange ended. */
    private idleSince = 0;
    private readonly path: ConnectionPath;
    private socket: ReceivingSocket | undefined;
    private areArrivalsWatched = false;
    /** Checks the response in progress when bytes have arrived; undefined while there is none. */
    private checkResponse: (() => void) | undefined;

    private constructor(options: UpstreamConnectionOptions) {
        this.options = options;
        const { address, connector, barrier } = options;
        this.path = { address, peer: undefined, lastByteAt: performance.now() };
        this.client = new Client(`http://${address}`, {
            connect: (_connectOptions, callback) =>
                connector.open(address, result => {
                    if (result.ok) {
                        this.path.peer = result.val.peer;
                        this.path.lastByteAt = performance.now();
                        this.watchSocket(result.val.socket);
                    }
                    barrier.defer(() =>
                        result.ok
                            ? callback(null, result.val.socket as Socket)
                            : callback(new Error(result.val), null)
                    );
                }),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: keepAliveMilliseconds,
            keepAliveMaxTimeout: keepAliveMilliseconds,
            keepAliveTimeoutThreshold: keepAliveMarginMilliseconds,
        });
        this.client.on("disconnect", () => this.disconnect());
        this.client.on("connectionError", () => this.disconnect());
    }

    /** Creates a connection. It opens with its first exchange. */
    static create(options: UpstreamConnectionOptions): UpstreamConnection {
        return new UpstreamConnection(options);
    }

    /** Gets the path that the connection takes. */
    getPath(): Readonly<ConnectionPath> {
        return this.path;
    }

    /** Gets how long the connection has been idle, in milliseconds. */
    getIdleTime(now: number): number {
        return now - this.idleSince;
    }

    /**
     * Sends a request. No other exchange may be in progress.
     * @param request - The request.
     * @param listener - Receives the response or the failure.
     */
    send(request: UpstreamRequest, listener: UpstreamListener): UpstreamExchange {
        let controller: Dispatcher.DispatchController | undefined;
        let sentAt: number | undefined;
        let isEnded = false;
        let isUnframed = false;
        let isLast = false;
        let bounds: ResponseBounds | undefined;
        let timer: NodeJS.Timeout | undefined;
        const end = () => {
            isEnded = true;
            this.checkResponse = undefined;
            clearTimeout(timer);
        };
        const fail = (message: string, kind?: UpstreamFailureKind) => {
            if (isEnded) {
                return;
            }
            end();
            this.disconnect();
            const defaultKind = sentAt === undefined ? UpstreamFailureKind.NotSent : UpstreamFailureKind.Broken;
            listener.onFailure({ kind: kind ?? defaultKind, message });
        };
        const check = () => {
            const violation = bounds?.findViolation(this.getParsedBytes(), performance.now());
            if (violation !== undefined) {
                fail(`The response is invalid: ${violation}.`, UpstreamFailureKind.Invalid);
            }
        };
        const startTimer = () => {
            clearTimeout(timer);
            const deadline = bounds?.getDeadline();
            // Timers may fire a millisecond early.
            timer = deadline === undefined ? undefined : setTimeout(check, Math.ceil(deadline - performance.now()) + 1);
        };
        this.client.dispatch({
            method: request.method as Dispatcher.HttpMethod,
            path: request.target,
            headers: request.headers,
            body: request.body.length === 0 ? null : request.body,
        }, {
            onRequestStart: dispatchController => {
                controller = dispatchController;
                if (isEnded) {
                    dispatchController.abort(new Error("The exchange was aborted."));
                    return;
                }
                if (listener.maySend?.() === false) {
                    fail(withheldFailure.message, withheldFailure.kind);
                    dispatchController.abort(new Error(withheldFailure.message));
                    return;
                }
                sentAt = performance.now();
                this.watchArrivals();
                bounds = ResponseBounds.create(this.getParsedBytes());
                this.checkResponse = () => {
                    check();
                    if (!isEnded && timer === undefined) {
                        bounds?.noteArrival(performance.now());
                        startTimer();
                    }
                };
            },
            onResponseStart: (_controller, status, headers) => {
                this.path.lastByteAt = performance.now();
                if (isEnded || status < 200) {
                    return;
                }
                if (!isFinalStatus(status)) {
                    fail(`The response is invalid: its status is ${status}.`, UpstreamFailureKind.Invalid);
                    return;
                }
                isUnframed = request.method !== "HEAD" && endsWithConnection(status, headers);
                isLast = isUnframed || closePattern.test(String(headers["connection"] ?? ""));
                listener.onHead(status, headers);
                bounds?.noteHead(listener.getBodyBounds?.() ?? bodyBoundsOfUse.kept, performance.now());
                startTimer();
            },
            onResponseData: (_controller, chunk) => {
                this.path.lastByteAt = performance.now();
                if (isEnded) {
                    return;
                }
                bounds?.noteBody(chunk.length);
                check();
                if (!isEnded) {
                    listener.onData(chunk);
                }
            },
            onResponseEnd: () => {
                // The HTTP client handles a reset as the end of a response without a length, but such a response is
                // incomplete.
                if (isUnframed && this.hasSocketFailed) {
                    fail("The connection was reset before the end of a response without a length.");
                    return;
                }
                if (isEnded) {
                    return;
                }
                end();
                this.idleSince = performance.now();
                // Bytes after the response, which make the connection unusable, are processed first.
                setImmediate(() => isLast ? this.disconnect() : this.release());
                listener.onEnd();
            },
            onResponseError: (_controller, error) => {
                if (!isEnded && (error as NodeJS.ErrnoException).code === invalidArgumentCode) {
                    end();
                    this.disconnect();
                    listener.onError(error);
                    return;
                }
                fail(error.message);
            },
        });
        return {
            getSentTime: () => sentAt,
            getPeer: () => this.path.peer,
            isPathLost: () => sentAt !== undefined && this.options.connector.isLost(this.path),
            testPath: onDone => void this.options.connector.test(this.path).then(onDone),
            abort: () => {
                if (isEnded) {
                    return;
                }
                end();
                controller?.abort(new Error("The exchange was aborted."));
                this.disconnect();
            },
            pause: () => controller?.pause(),
            // The HTTP client parses one response at a time, and this may be called while it parses another one.
            resume: () => queueMicrotask(() => isEnded ? undefined : controller?.resume()),
        };
    }

    /** Closes the connection and aborts its exchange. */
    close(): void {
        this.disconnect();
    }

    /** Gets the number of bytes that were received on the connection and are parsed. */
    private getParsedBytes(): number {
        return this.socket === undefined ? 0 : this.socket.bytesRead - this.socket.readableLength;
    }

    /** Checks responses as their bytes arrive. The HTTP client must have its listener first, since a second one gets no earlier bytes. */
    private watchArrivals(): void {
        if (!this.areArrivalsWatched) {
            this.areArrivalsWatched = true;
            this.socket?.on("readable", () => this.checkResponse?.());
        }
    }

    private watchSocket(socket: ReceivingSocket): void {
        this.socket = socket;
        socket.once("error", () => {
            this.hasSocketFailed = true;
        });
    }

    private release(): void {
        if (!this.isClosed) {
            this.options.onIdle();
        }
    }

    private disconnect(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        // Errors are ignored, because they only state that the client is already closed.
        this.client.destroy().catch(() => undefined);
        this.options.onClosed();
    }
}
