import { type buildConnector, type Dispatcher, Pool } from "undici";
import type { Clock } from "../../process/clock.ts";

const maximumConnections = 64;
const connectTimeoutMilliseconds = 1_000;
/** Time after which replaced connections are closed, even if responses are still in progress. */
const retirementMilliseconds = 2_000;

/** The connection pool of one engine. All its connections are replaced together when one stops responding. */
export class EnginePool {
    private readonly origin: string;
    private readonly clock: Clock;
    private readonly connect: buildConnector.connector | undefined;
    private pool: Pool;

    private constructor(origin: string, clock: Clock, connect?: buildConnector.connector) {
        this.origin = origin;
        this.clock = clock;
        this.connect = connect;
        this.pool = createPool(origin, connect);
    }

    /**
     * Creates a pool without open connections.
     * @param origin - Scheme, host and port of the engine.
     * @param clock - Clock that times the closing of replaced connections.
     * @param connect - Opens the connections. Default: the HTTP client does.
     */
    static create(origin: string, clock: Clock, connect?: buildConnector.connector): EnginePool {
        return new EnginePool(origin, clock, connect);
    }

    /** Gets the dispatcher for new calls. */
    getDispatcher(): Dispatcher {
        return this.pool;
    }

    /**
     * Makes new calls use new connections. Responses in progress may still complete on the old ones for a short time.
     */
    replace(): void {
        const oldPool = this.pool;
        this.pool = createPool(this.origin, this.connect);
        this.clock.setTimer(retirementMilliseconds, () => void oldPool.destroy());
    }

    /** Closes all connections and aborts their calls. */
    async destroy(): Promise<void> {
        await this.pool.destroy();
    }
}

function createPool(origin: string, connect: buildConnector.connector | undefined): Pool {
    return new Pool(origin, {
        connections: maximumConnections,
        headersTimeout: 0,
        bodyTimeout: 0,
        connectTimeout: connectTimeoutMilliseconds,
        connect,
    });
}
