import { type Dispatcher, Pool } from "undici";
import type { Clock } from "../../process/clock.ts";

const maximumConnections = 64;
const connectTimeoutMilliseconds = 1_000;
/** Replaced connections are cut after this time, where their answers have not ended. */
const retireMilliseconds = 2_000;

/** The open connections to one engine, which are replaced together when one has gone silent. */
export class EnginePool {
    private readonly origin: string;
    private readonly clock: Clock;
    private pool: Pool;

    private constructor(origin: string, clock: Clock) {
        this.origin = origin;
        this.clock = clock;
        this.pool = createPool(origin);
    }

    /**
     * Creates the connections; none is open yet.
     * @param origin - Scheme, host and port of the engine.
     * @param clock - Clock for the end of replaced connections.
     */
    static create(origin: string, clock: Clock): EnginePool {
        return new EnginePool(origin, clock);
    }

    /** Gets the connections to use now. */
    getDispatcher(): Dispatcher {
        return this.pool;
    }

    /** New calls use new connections from here on; the old ones may still end their answers for a while. */
    replace(): void {
        const oldPool = this.pool;
        this.pool = createPool(this.origin);
        this.clock.setTimer(retireMilliseconds, () => void oldPool.destroy());
    }

    /** Cuts all connections. */
    async destroy(): Promise<void> {
        await this.pool.destroy();
    }
}

function createPool(origin: string): Pool {
    return new Pool(origin, {
        connections: maximumConnections,
        headersTimeout: 0,
        bodyTimeout: 0,
        connectTimeout: connectTimeoutMilliseconds,
    });
}
