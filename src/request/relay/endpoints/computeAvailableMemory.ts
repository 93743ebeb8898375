/** Known use of an endpoint's memory, in tokens times layers. */
interface EndpointMemory {
    /** Memory of this node's requests. */
    own: number;
    /** Recent peak memory of this node's requests, which peers assume to be in use. */
    ownPeak: number;
    /** Memory of the peers' requests according to their last reports. */
    others: number;
    /** Total memory for requests. */
    total: number;
    /** Share of the demand that arrives at this node, 0 to 1. */
    share: number;
}

/**
 * Fraction of the memory that may be reserved. Requests count with their expected final length from their start, so they use
 * less memory than they reserve.
 */
const reservableFraction = 1.05;
/** Fraction of the memory that a growing node leaves free, for requests that its peers start before it receives their reports. */
const growthMarginFraction = 0.05;

/**
 * Gets the memory of an endpoint that this node may still use for requests, in tokens times layers.
 *
 * Nodes exchange reports only a few times a second. During an overload, all of them would otherwise see the same free memory
 * and fill it at once. So memory that this node's own requests release stays reserved for this node. Of other free memory, it
 * uses all but a margin, or only its share if there is little. If too much is reserved, each node gives up its share.
 */
export function computeAvailableMemory({ own, ownPeak, others, total, share }: EndpointMemory): number {
    const free = total * reservableFraction - others - ownPeak;
    const growth = free > 0 ? Math.max(free * share, free - total * growthMarginFraction) : free * share;
    return ownPeak - own + growth;
}
