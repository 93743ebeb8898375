import type { Claim } from "./claim.ts";

/** The content of one slot: the claims that one append wrote. */
export interface ClaimBatch {
    /** Position in the shard's log, from 0 without gaps; the slot is its remainder by the ring's size. */
    number: number;
    /** Names the owner's process and its append; for those who read the log. */
    batchId: string;
    /** Wall-clock time of the append, in milliseconds since the Unix epoch; for those who read the log. */
    writtenAt: number;
    /**
     * Latest issue time of any claim that was ever overwritten in this shard, this append's own overwriting
     * included; -1 where none. A key issued no later may have been claimed and is never granted again.
     */
    horizon: number;
    claims: readonly Claim[];
}
