import type { InputBarrier } from "../../process/loop/inputBarrier.ts";
import type { EndpointAddress } from "../endpoint/endpointAddress.ts";
import type { PathConnector } from "./path/pathConnector.ts";
import { UpstreamPool } from "./upstreamPool.ts";

/** Options of {@link UpstreamPools}. */
interface UpstreamPoolsOptions {
    /** Delays requests until all input that has already arrived at the node is read. */
    barrier: Pick<InputBarrier, "defer">;
    connector: PathConnector;
    /** Called for each new connection. */
    onOpened(): void;
}

/** The connection pools of this node, one per endpoint address. */
export class UpstreamPools {
    private readonly pools = new Map<string, UpstreamPool>();
    private readonly options: UpstreamPoolsOptions;

    private constructor(options: UpstreamPoolsOptions) {
        this.options = options;
    }

    /** Creates an empty set of pools. */
    static create(options: UpstreamPoolsOptions): UpstreamPools {
        return new UpstreamPools(options);
    }

    /** Gets the pool of an address, creating it if necessary. */
    getPool(address: EndpointAddress): UpstreamPool {
        const known = this.pools.get(address);
        if (known !== undefined) {
            return known;
        }
        const pool = UpstreamPool.create({ address, ...this.options });
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

    /** Closes the idle connections through peers that are not needed or not usable any more. */
    closeUnusedTunnels(): void {
        for (const pool of this.pools.values()) {
            pool.closeUnusedTunnels();
        }
    }

    /** Lists the addresses to which connections are open. */
    listOpenAddresses(): string[] {
        return [...this.pools].filter(([, pool]) => pool.getSize() > 0).map(([address]) => address);
    }

    /** Closes all connections. */
    close(): void {
        for (const pool of this.pools.values()) {
            pool.close();
        }
        this.pools.clear();
    }
}
