import type { Claim } from "./claim.ts";

/** Claim without a verdict yet. */
export interface WaitingClaim {
    /** Number that identifies the claim in the output. */
    ticket: number;
    claim: Claim;
    /** Monotonic time in milliseconds at which the claim is refused. */
    deadline: number;
}
