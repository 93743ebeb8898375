import type { Claim } from "./claim.ts";

/** Contents of one slot: the claims written by one append. */
export interface ClaimBatch {
    /** Position in the shard's log, from 0 without gaps. The slot index is this number modulo the ring size. */
    number: number;
    /** Owner id and sequence number of the append. */
    batchId: string;
    /** Wall-clock time of the append, in milliseconds since the Unix epoch. For diagnosis only. */
    writtenAt: number;
    /**
     * Latest issue time of all claims that were ever overwritten in this shard, including those overwritten by this
     * append; -1 if there are none. A key issued at or before it that is no longer in the log may have been claimed, so
     * it is not granted.
     */
    horizon: number;
    claims: readonly Claim[];
}
