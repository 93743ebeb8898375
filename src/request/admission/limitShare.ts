/** Part of the limit that is kept for nodes that have shown no demand yet. */
const floorPart = 0.02;

/** Demands of which a node's share of a limit is worked out, in requests a second. */
interface LimitShareOptions {
    /** Limit over all nodes. */
    limit: number;
    /** Demand at this node. */
    own: number;
    /** Demand at the other nodes. */
    peers: number;
    nodeCount: number;
}

/**
 * Works out a node's share of a customer's limit: in proportion to demand, and what demand leaves over in equal
 * parts. The shares of nodes that see the same demands add up to the limit.
 */
export function getLimitShare({ limit, own, peers, nodeCount }: LimitShareOptions): number {
    const demand = own + peers;
    const spare = Math.max(floorPart * limit, limit - demand);
    const proportional = demand > 0 ? own / demand * (limit - spare) : 0;
    return proportional + spare / nodeCount;
}
