import type { Claim } from "./claim.ts";

/** A claim that was submitted to a shard and has no verdict yet. */
export interface WaitingClaim {
    /** Number by which the submitter finds the claim again when its {@link TicketVerdict} arrives. */
    ticket: number;
    claim: Claim;
    /** Monotonic time in milliseconds at which the claim is refused if it has no verdict. */
    deadline: number;
}
