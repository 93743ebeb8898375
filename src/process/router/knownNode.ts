/** Another node of the deployment. */
export interface KnownNode {
    /** Changes with each start of the process. */
    nodeId: string;
    /** Address of its peer listener, as host:port. */
    address: string;
    dataCentre: string;
    /** Whether it last reported that the store refuses it or does not answer it. */
    isWithoutStore: boolean;
    /** Address of its listener for tunnels to endpoints, as host:port; empty or absent if it takes none. */
    tunnelAddress?: string;
    /** Fraction of the endpoints that it can't connect to, as it last reported, 0 to 1. Default: 0. */
    unreachableFraction?: number;
    /** Lag of its event loop in milliseconds, as it last reported. Default: 0. */
    lag?: number;
    /** Whether it last reported that it tells the load balancer that it is not ready. Default: false. */
    isOutOfRotation?: boolean;
    /** Latest known monotonic time in milliseconds at which any node heard from it directly. */
    heardAt: number;
}
