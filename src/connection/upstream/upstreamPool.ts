import { UpstreamConnection } from "./upstreamConnection.ts";
import type { UpstreamExchange } from "./upstreamExchange.ts";
import type { UpstreamListener } from "./upstreamListener.ts";
import type { UpstreamRequest } from "./upstreamRequest.ts";

/** Options of an {@link UpstreamPool}. */
interface UpstreamPoolOptions {
    /** host:port of the endpoint. */
    address: string;
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

    /**
     * Sends a request over an idle connection or a new one.
     * @param request - The request.
     * @param listener - Told what becomes of it.
     * @param maximumIdleMilliseconds - Connections that were idle for longer are not used. A request that can't be
     * repeated asks for a short time, because a connection may have gone silent unnoticed.
     */
    send(
        request: UpstreamRequest,
        listener: UpstreamListener,
        maximumIdleMilliseconds = Infinity,
    ): UpstreamExchange {
        return this.take(maximumIdleMilliseconds).send(request, listener);
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
        this.options.onOpened();
        const connection = UpstreamConnection.create({
            address: this.options.address,
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
