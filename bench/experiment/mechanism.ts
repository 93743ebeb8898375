/** Mechanisms that an experiment can switch off to measure their effect. */
export const Mechanism = {
    /** Gossip with more peers per round while nodes contend for engine memory. */
    News: "news",
    /**
     * Limits each node's use of an endpoint's free memory; without it, a node uses all memory that the loads it knows
     * of leave free.
     */
    Room: "room",
    /** Distinguishes full endpoints from unavailable ones. */
    Full: "full",
    /** Distinguishes retries from new requests. */
    Returns: "returns",
    /**
     * Starts requests first that can still meet their objective, and refuses requests on arrival that can't be served
     * in time.
     */
    Timeliness: "timeliness",
} as const;
export type Mechanism = typeof Mechanism[keyof typeof Mechanism];
