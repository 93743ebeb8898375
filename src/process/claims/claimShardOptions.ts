/** Options of a claim shard. */
export interface ClaimShardOptions {
    /** Number of the shard. */
    shard: number;
    /** Unique per process start, such as a random UUID. It is part of the batch ids. */
    ownerId: string;
    /** Number of slots in the ring; the same on all nodes. */
    ringSize: number;
    /** How long a key is valid after its issue time, in milliseconds. */
    windowMilliseconds: number;
    /** Shortest time between two appends, in milliseconds. */
    appendIntervalMilliseconds: number;
    /** Longest time that a claim waits for its verdict, in milliseconds. */
    giveUpMilliseconds: number;
    /** Slots read by one store call. */
    pageSize: number;
}
