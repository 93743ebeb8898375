import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import { UpstreamConnection } from "./upstreamConnection.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";

/** Options of an {@link UpstreamPool}. */
interface UpstreamPoolOptions {
    /** host:port of the endpoint. */
    address: string;
    /** Has what may be out of date wait until all that has come to the node is read. */
    barrier: Pick<InputBarrier, "pass">;
    /** Called for each new connection. */
    onOpened(): void;
}

/**
 * Two round trips between data centres and the endpoint's handling of a connection take a few milliseconds; the rest
 * allows for a lost packet that is sent again.
 */
const connectTimeoutMilliseconds = 700;

/** The connections of this node to one address. Idle ones are used again, the last used one first. */
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

    /** Whether a connection is open and free. */
    hasIdle(): boolean {
        return this.idle.length > 0;
    }

    /** Sends a request of this node's own over an idle connection or a new one. */
    send(request: UpstreamRequest, listener: UpstreamListener): UpstreamExchange {
        return this.take(Infinity).send(request, listener);
    }

    /**
     * Sends a caller's request, unless it is given up until all is read that has come to the node: its caller may have gone.
     * @param createRequest - Creates the request as it is when it goes.
     * @param listener - Told what becomes of it.
     * @param maximumIdleMilliseconds - Connections that were idle for longer are not used. A request that can't be
     * repeated asks for a short time, because a connection may have gone silent unnoticed.
     */
    sendForCaller(
        createRequest: () => UpstreamRequest,
        listener: UpstreamListener,
        maximumIdleMilliseconds = Infinity,
    ): UpstreamExchange {
        let exchange: UpstreamExchange | undefined;
        const passage = this.options.barrier.pass(() => {
            exchange = this.take(maximumIdleMilliseconds).send(createRequest(), listener);
        });
        return {
            abort: () => {
                passage.cancel();
                exchange?.abort();
            },
            getSentTime: () => exchange?.getSentTime(),
        };
    }

    /** Closes the idle connections, after one of them has proved silent. */
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

    private take(maximumIdleMilliseconds: number): UpstreamConnection {
        const latest = this.idle.at(-1);
        if (latest !== undefined && latest.getIdleTime(performance.now()) <= maximumIdleMilliseconds) {
            this.idle.pop();
            return latest;
        }
        return this.open();
    }

    private open(): UpstreamConnection {
        const { address, barrier, onOpened } = this.options;
        onOpened();
        const connection = UpstreamConnection.create({
            address,
            barrier,
            connectTimeoutMilliseconds,
            onFree: () => this.idle.push(connection),
            onGone: () => this.remove(connection),
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
