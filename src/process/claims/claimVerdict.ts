import type { ClaimOutcome } from "./claimOutcome.ts";

/** The decision on a claim: whether the claimant may run its request and, if not, why. */
export interface ClaimVerdict {
    outcome: ClaimOutcome;
    /** First claimant of the key, if known. */
    claimant?: string;
    /** Node of the first claimant, if known. */
    nodeId?: string;
    /** For unavailable: whether the shard had been read up to its tail and held no claim on the key. */
    isUnclaimed?: boolean;
    /** Why the claim was not granted and what to do about it. */
    message?: string;
}
