import type { ClaimOutcome } from "./claimOutcome.ts";

/** The answer to a claim. */
export interface ClaimVerdict {
    outcome: ClaimOutcome;
    /** First claimant of the key, where the outcome is taken or a body mismatch. */
    claimant?: string;
    /** Node of the first claimant. */
    nodeId?: string;
    /** What stood in the way and what to do about it, where the claim was not granted. */
    message?: string;
}
