import type { ClaimOutcome } from "./claimOutcome.ts";

/** The answer to a claim. */
export interface ClaimVerdict {
    outcome: ClaimOutcome;
    /** First claimant of the key, where the outcome is taken or a body mismatch. */
    claimant?: string;
    /** Node of the first claimant. */
    nodeId?: string;
    /** With unavailable: the shard had been read up to its tail, and no claim of the key was in it. */
    isUnclaimed?: boolean;
    /** What stood in the way and what to do about it, where the claim was not granted. */
    message?: string;
}
