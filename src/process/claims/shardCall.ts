/** A call at the platform's service that a claim shard asks for. */
export type ShardCall =
    | { kind: "swap"; key: string; expectedRevision: number; value: string; }
    | { kind: "read"; prefix: string; fromKey: string; limit: number; };
