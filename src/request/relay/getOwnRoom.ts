/** What is known of one endpoint's memory, in tokens times layers. */
interface EndpointMemory {
    /** What this node's requests take now. */
    own: number;
    /** The most that they took lately, which is what the peers take this node to need. */
    ownPeak: number;
    /** What the peers' requests took when they last spoke. */
    others: number;
    /** Memory for requests. */
    total: number;
    /** Part of the demand that comes to this node, 0 to 1. */
    share: number;
}

/**
 * Part of the memory that may be promised. Requests are counted at their expected length from the beginning, so that their sum is
 * somewhat more than what they use.
 */
const mostPart = 1.05;
/** So much is left by a node that grows, for what the others start before it hears of them. */
const growthMargin = 0.05;

/**
 * Gets the memory that this node may still give to requests at an endpoint, in tokens times layers.
 *
 * The load that it answers is an overload in which all nodes hear of the same free place and fill it at once, since they hear
 * of each other a few times a second only. So a place that one of this node's requests leaves is this node's again, without
 * a doubt; of room beyond that it takes all but a margin, or where there is little, its share. Where too much was taken, each
 * node gives back its share.
 */
export function getOwnRoom({ own, ownPeak, others, total, share }: EndpointMemory): number {
    const free = total * mostPart - others - ownPeak;
    const growth = free > 0 ? Math.max(free * share, free - total * growthMargin) : free * share;
    return ownPeak - own + growth;
}
