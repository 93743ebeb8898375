import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { EndpointConnector } from "./path/endpointConnector.ts";
import { UpstreamConnection } from "./upstreamConnection.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";
import { withheldFailure } from "./withheldFailure.ts";

/** Options of an {@link UpstreamPool}. */
interface UpstreamPoolOptions {
    /** host:port of the endpoint. */
    address: string;
    /** Delays requests until all input that has already arrived at the node is read, since it may abort them. */
    barrier: Pick<InputBarrier, "defer">;
    connector: Pick<EndpointConnector, "open">;
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
        let exchange: UpstreamExchange | undefined;
        const deferred = this.options.barrier.defer(() => {
            if (listener.maySend?.() === false) {
                listener.onFailure(withheldFailure);
                return;
            }
            exchange = this.acquire(maximumIdleMilliseconds).send(createRequest(), listener);
        });
        return {
            abort: () => {
                deferred.cancel();
                exchange?.abort();
            },
            getSentTime: () => exchange?.getSentTime(),
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

    private acquire(maximumIdleMilliseconds: number): UpstreamConnection {
        const latest = this.idle.at(-1);
        if (latest !== undefined && latest.getIdleTime(performance.now()) <= maximumIdleMilliseconds) {
            this.idle.pop();
            return latest;
        }
        return this.open();
    }

    private open(): UpstreamConnection {
        const { address, barrier, connector, onOpened } = this.options;
        onOpened();
        const connection = UpstreamConnection.create({
            address,
            barrier,
            connector,
            onIdle: () => this.idle.push(connection),
            onClosed: () => this.remove(connection),
        });
        this.connections.add(connection);
        return connection;
    }

    private remove(connection: UpstreamConnection): void {
        this.connections.delete(connection);
        const index = this.idle.indexOf(connection);
        if (index !== -1) {
            this.idle.splice(index, 1);
        }
    }
}
