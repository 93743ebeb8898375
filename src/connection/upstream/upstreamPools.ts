import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import { UpstreamPool } from "./upstreamPool.ts";

/** The connection pools of this node, one per endpoint address. */
export class UpstreamPools {
    private readonly pools = new Map<string, UpstreamPool>();
    private readonly barrier: Pick<InputBarrier, "defer">;
    private readonly onOpened: () => void;

    private constructor(barrier: Pick<InputBarrier, "defer">, onOpened: () => void) {
        this.barrier = barrier;
        this.onOpened = onOpened;
    }

    /**
     * Creates an empty set of pools.
     * @param barrier - Delays requests until all input that has already arrived at the node is read.
     * @param onOpened - Called for each new connection.
     */
    static create(barrier: Pick<InputBarrier, "defer">, onOpened: () => void): UpstreamPools {
        return new UpstreamPools(barrier, onOpened);
    }

    /** Gets the pool of an address, creating it if necessary. */
    getPool(address: string): UpstreamPool {
        const known = this.pools.get(address);
        if (known !== undefined) {
            return known;
        }
        const pool = UpstreamPool.create({ address, barrier: this.barrier, onOpened: this.onOpened });
        this.pools.set(address, pool);
        return pool;
    }

    /** Closes the idle connections to all addresses but the given ones. */
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
