/** Known use of an endpoint as a first stage. */
interface EndpointSlots {
    /** Requests of all nodes for which it is the first stage. */
    used: number;
    /** Number of requests that it runs at the same time as a first stage. */
    total: number;
    /** Share of the demand that arrives at this node, 0 to 1. */
    share: number;
}

/** Fraction of the slots that this node leaves free, in whole slots, for requests that its peers start before it receives their reports. */
const marginFraction = 0.05;

/**
 * Gets the number of further requests that this node may send to an endpoint as the first stage of their chains. Beyond its slots, an
 * endpoint has requests wait until others have ended, where nobody can order them, send them elsewhere or refuse them in time.
 */
export function computeAvailableSlots({ used, total, share }: EndpointSlots): number {
    const free = total - used;
    return Math.max(free * share, free - Math.floor(total * marginFraction));
}
