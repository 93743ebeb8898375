/** A peer that can connect this node to endpoints. */
export interface TunnelPeer {
    /** Address of its listener for tunnels, as host:port. */
    address: string;
    /** Fraction of the endpoints that it can't connect to, as it last reported, 0 to 1. */
    unreachableFraction: number;
}
