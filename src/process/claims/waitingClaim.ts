import type { Claim } from "./claim.ts";

/** A claim that has no verdict yet. */
export interface WaitingClaim {
    /** Number under which the verdict is given. */
    ticket: number;
    claim: Claim;
    /** Monotonic time in milliseconds at which the claim is given up. */
    deadline: number;
}
