/** Settings of a claim shard. */
export interface ClaimShardOptions {
    /** Number of the shard. */
    shard: number;
    /** Unique per start of a process, such as a random UUID; batches are named after it. */
    ownerId: string;
    /** Number of slots of the ring; the same on all nodes. */
    ringSize: number;
    /** How long a key counts after its issue time, in milliseconds. */
    windowMilliseconds: number;
    /** Shortest time between two appends, in milliseconds. */
    appendIntervalMilliseconds: number;
    /** Longest wait of a claim for its verdict, in milliseconds. */
    giveUpMilliseconds: number;
    /** Slots that one call reads. */
    pageSize: number;
}
