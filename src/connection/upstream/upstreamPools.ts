import { UpstreamPool } from "./upstreamPool.ts";

/** The connections of this node to all endpoints, by address. */
export class UpstreamPools {
    private readonly pools = new Map<string, UpstreamPool>();
    private readonly onOpened: () => void;

    private constructor(onOpened: () => void) {
        this.onOpened = onOpened;
    }

    /**
     * Creates pools without connections.
     * @param onOpened - Called for each new connection.
     */
    static create(onOpened: () => void): UpstreamPools {
        return new UpstreamPools(onOpened);
    }

    /** Gets the connections to an address. */
    getPool(address: string): UpstreamPool {
        const known = this.pools.get(address);
        if (known !== undefined) {
            return known;
        }
        const pool = UpstreamPool.create({ address, onOpened: this.onOpened });
        this.pools.set(address, pool);
        return pool;
    }

    /** Closes the idle connections to addresses that no endpoint has any more. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.pools) {
            if (addresses.has(address)) {
                continue;
            }
            pool.closeIdle();
            if (pool.getSize() === 0) {
                this.pools.delete(address);
            }
        }
    }

    /** Closes all connections. */
    close(): void {
        for (const pool of this.pools.values()) {
            pool.close();
        }
        this.pools.clear();
    }
}
