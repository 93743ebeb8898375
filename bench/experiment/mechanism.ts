/** Mechanisms that an experiment can disable to measure their effect. */
export const Mechanism = {
    /** Gossip with more peers per round while nodes contend for engine memory. */
    FastGossip: "news",
    /**
     * Limits each node's use of an endpoint's free memory; without it, a node uses all memory that the loads it knows
     * of leave free.
     */
    MemoryLimit: "room",
    /** Distinguishes full endpoints from unavailable ones. */
    FullEndpoints: "full",
    /** Distinguishes retries from new requests. */
    RetryDetection: "returns",
    /**
     * Starts requests first that can still meet their objective, and refuses requests on arrival that can't be served
     * in time.
     */
    Timeliness: "timeliness",
    /** Memory that requests of a lower rank leave free for higher ranks. */
    RankReserve: "reserve",
    /** Admitted shares of the ranks, by the demand and the capacity of all nodes. */
    RankShares: "shares",
    /** Counts nodes without a recent report with the average load of the others. */
    ExpectedLoads: "expected-loads",
} as const;
export type Mechanism = typeof Mechanism[keyof typeof Mechanism];
