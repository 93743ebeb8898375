import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import { UpstreamFailureKind } from "./upstreamFailureKind.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";

/** Options of an {@link UpstreamConnection}. */
interface UpstreamConnectionOptions {
    /** host:port of the endpoint. */
    address: string;
    connectTimeoutMilliseconds: number;
    /** Has the first request wait until all is read that came while the connection opened; the request may be given up by that. */
    barrier: Pick<InputBarrier, "pass">;
    /** The connection has become free for another exchange. */
    onFree(): void;
    /** The connection is gone. */
    onGone(): void;
}

/** Where the endpoint says nothing, an idle connection is kept for this long. */
const idleMilliseconds = 60_000;
/** A connection is given up this long before the endpoint would close it, so that no request crosses the close. */
const idleMarginMilliseconds = 600;

/** One HTTP/1.1 connection to an endpoint, with one exchange at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly options: UpstreamConnectionOptions;
    private hasSocketFailed = false;
    private isGone = false;
    /** Monotonic time in milliseconds at which the last exchange ended. */
    private freeSince = 0;

    private constructor(options: UpstreamConnectionOptions) {
        this.options = options;
        const connect = buildConnector({
            timeout: options.connectTimeoutMilliseconds,
            keepAlive: true,
            keepAliveInitialDelay: 1_000,
        });
        this.client = new Client(`http://${options.address}`, {
            connect: (connectOptions, callback) =>
                connect(connectOptions, (...result) => {
                    const [error, socket] = result;
                    if (error === null) {
                        this.watchSocket(socket);
                    }
                    options.barrier.pass(() => callback(...result));
                }),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: idleMilliseconds,
            keepAliveMaxTimeout: idleMilliseconds,
            keepAliveTimeoutThreshold: idleMarginMilliseconds,
        });
        this.client.on("disconnect", () => this.leave());
        this.client.on("connectionError", () => this.leave());
    }

    /** Creates a connection that opens with its first exchange. */
    static create(options: UpstreamConnectionOptions): UpstreamConnection {
        return new UpstreamConnection(options);
    }

    /** Gets how long the connection has been idle, in milliseconds. */
    getIdleTime(now: number): number {
        return now - this.freeSince;
    }

    /**
     * Sends a request; none may be under way.
     * @param request - The request.
     * @param listener - Told what becomes of it.
     */
    send(request: UpstreamRequest, listener: UpstreamListener): UpstreamExchange {
        let controller: Dispatcher.DispatchController | undefined;
        let sentAt: number | undefined;
        let isOver = false;
        let isUnframed = false;
        const fail = (message: string) => {
            if (isOver) {
                return;
            }
            isOver = true;
            this.leave();
            listener.onFailure({
                kind: sentAt === undefined ? UpstreamFailureKind.NotSent : UpstreamFailureKind.Broken,
                message,
            });
        };
        this.client.dispatch({
            method: request.method as Dispatcher.HttpMethod,
            path: request.target,
            headers: request.headers,
            body: request.body.length === 0 ? null : request.body,
        }, {
            onRequestStart: given => {
                controller = given;
                if (isOver) {
                    given.abort(new Error("The exchange was given up."));
                    return;
                }
                sentAt = performance.now();
            },
            onResponseStart: (_controller, status, headers) => {
                if (isOver || status < 200) {
                    return;
                }
                isUnframed = isWithoutLength(headers);
                listener.onHead(status, headers);
            },
            onResponseData: (_controller, chunk) => {
                if (!isOver) {
                    listener.onData(chunk);
                }
            },
            onResponseEnd: () => {
                // The HTTP client takes a reset for the end of an answer without a length; such an answer isn't whole.
                if (isUnframed && this.hasSocketFailed) {
                    fail("The connection was reset before its end, which alone ends this answer.");
                    return;
                }
                if (isOver) {
                    return;
                }
                isOver = true;
                this.freeSince = performance.now();
                // Bytes after the answer are looked at first; they make the connection unusable.
                setImmediate(() => this.free());
                listener.onEnd();
            },
            onResponseError: (_controller, error) => fail(error.message),
        });
        return {
            getSentTime: () => sentAt,
            abort: () => {
                if (isOver) {
                    return;
                }
                isOver = true;
                controller?.abort(new Error("The exchange was given up."));
                this.leave();
            },
        };
    }

    /** Closes the connection; an exchange under way is cut. */
    close(): void {
        this.leave();
    }

    private watchSocket(socket: Socket): void {
        socket.setNoDelay(true);
        socket.once("error", () => {
            this.hasSocketFailed = true;
        });
    }

    private free(): void {
        if (!this.isGone) {
            this.options.onFree();
        }
    }

    private leave(): void {
        if (this.isGone) {
            return;
        }
        this.isGone = true;
        // The result says only that the client is closed, which is what was asked for.
        this.client.destroy().catch(() => undefined);
        this.options.onGone();
    }
}

function isWithoutLength(headers: IncomingHttpHeaders): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}
