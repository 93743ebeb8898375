import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { EndpointAddress } from "../endpoint/endpointAddress.ts";
import type { PathConnector } from "./path/pathConnector.ts";
import { UpstreamConnection } from "./upstreamConnection.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";
import { withheldFailure } from "./withheldFailure.ts";

/** Options of an {@link UpstreamPool}. */
interface UpstreamPoolOptions {
    /** host:port of the endpoint. */
    address: EndpointAddress;
    /** Delays requests until all input that has already arrived at the node is read, since it may abort them. */
    barrier: Pick<InputBarrier, "defer">;
    connector: PathConnector;
    /** Called for each new connection. */
    onOpened(): void;
}

/** The connections of this node to one address. Idle ones are reused, the most recently used one first. */
export class UpstreamPool {
    private readonly options: UpstreamPoolOptions;
    private readonly idle: UpstreamConnection[] = [];
    private readonly connections = new Set<UpstreamConnection>();

    private constructor(options: UpstreamPoolOptions) {
        this.options = options;
    }

    /** Creates an empty pool. */
    static create(options: UpstreamPoolOptions): UpstreamPool {
        return new UpstreamPool(options);
    }

    /** Gets the number of connections, idle ones included. */
    getSize(): number {
        return this.connections.size;
    }

    /** Checks if the pool has an idle connection. */
    hasIdle(): boolean {
        return this.idle.length > 0;
    }

    /** Sends a request of this node over an idle connection or a new one. */
    send(request: UpstreamRequest, listener: UpstreamListener): UpstreamExchange {
        return this.acquire(Infinity).send(request, listener);
    }

    /**
     * Sends a caller's request once all input that has already arrived at the node is read, unless it is aborted by
     * then, for example because the caller has disconnected.
     * @param createRequest - Creates the request when it is sent.
     * @param listener - Receives the response or the failure.
     * @param maximumIdleMilliseconds - Connections that were idle for longer are not used. Requests that can't be
     * retried use a short time, because an idle connection may be dead without the node noticing.
     */
    sendForCaller(
        createRequest: () => UpstreamRequest,
        listener: UpstreamListener,
        maximumIdleMilliseconds = Infinity,
    ): UpstreamExchange {
        const { address } = this.options;
        let exchange: UpstreamExchange | undefined;
        const deferred = this.options.barrier.defer(() => {
            if (listener.maySend?.() === false) {
                listener.onFailure(withheldFailure);
                return;
            }
            const request = tryCreate(createRequest, listener);
            if (request !== undefined) {
                exchange = this.acquire(maximumIdleMilliseconds).send(request, listener);
            }
        });
        return {
            abort: () => {
                deferred.cancel();
                exchange?.abort();
            },
            pause: () => exchange?.pause(),
            resume: () => exchange?.resume(),
            getSentTime: () => exchange?.getSentTime(),
            getPeer: () => exchange?.getPeer(),
            isPathLost: () => exchange?.isPathLost() ?? false,
            testPath: onDone => {
                if (exchange === undefined) {
                    void this.options.connector.test({ address, peer: undefined }).then(onDone);
                    return;
                }
                exchange.testPath(onDone);
            },
        };
    }

    /** Closes the idle connections. Used after one of them did not respond. */
    closeIdle(): void {
        for (const connection of this.idle.splice(0)) {
            connection.close();
        }
    }

    /** Closes all connections. */
    close(): void {
        for (const connection of [...this.connections]) {
            connection.close();
        }
    }

    /** Closes the idle connections through peers that are not needed or not usable any more. */
    closeUnusedTunnels(): void {
        const { connector } = this.options;
        const unused = this.idle.filter(connection =>
            connection.getPath().peer !== undefined && !connector.isUsable(connection.getPath())
        );
        for (const connection of unused) {
            connection.close();
        }
    }

    /** Checks if bytes were received from the address over an open connection since the given monotonic time in milliseconds. */
    hasBytesSince(time: number): boolean {
        for (const connection of this.connections) {
            if (connection.getPath().lastByteAt > time) {
                return true;
            }
        }
        return false;
    }

    private acquire(maximumIdleMilliseconds: number): UpstreamConnection {
        const { address, connector } = this.options;
        const now = performance.now();
        const recent = this.idle.filter(connection => connection.getIdleTime(now) <= maximumIdleMilliseconds);
        const usable = recent.findLast(connection => connector.isUsable(connection.getPath()));
        // A connection over a path that fails may still be open, and is the only way if no peer can help.
        const connection = usable ?? (connector.hasPeer(address) ? undefined : recent.at(-1));
        if (connection === undefined) {
            return this.open();
        }
        this.idle.splice(this.idle.indexOf(connection), 1);
        return connection;
    }

    private open(): UpstreamConnection {
        const { address, barrier, connector, onOpened } = this.options;
        onOpened();
        const connection = UpstreamConnection.create({
            address,
            barrier,
            connector,
            onIdle: () => this.release(connection),
            onClosed: () => this.remove(connection),
        });
        this.connections.add(connection);
        return connection;
    }

    private release(connection: UpstreamConnection): void {
        this.idle.push(connection);
        if (connection.getPath().peer !== undefined) {
            this.closeUnusedTunnels();
        }
    }

    private remove(connection: UpstreamConnection): void {
        this.connections.delete(connection);
        const index = this.idle.indexOf(connection);
        if (index !== -1) {
            this.idle.splice(index, 1);
        }
    }
}

/** Creates a request, unless this throws. The input barrier runs actions of many requests, so the error goes to the listener. */
function tryCreate(createRequest: () => UpstreamRequest, listener: UpstreamListener): UpstreamRequest | undefined {
    try {
        return createRequest();
    }
    catch (error) {
        listener.onError(error);
        return undefined;
    }
}
