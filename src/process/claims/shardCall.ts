/** Call to the platform's key-value store requested by a claim shard. */
export type ShardCall =
    | { kind: "swap"; key: string; expectedRevision: number; value: string; }
    | { kind: "read"; prefix: string; fromKey: string; limit: number; };
