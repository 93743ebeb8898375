import type { ClaimVerdict } from "./claimVerdict.ts";

/** The verdict for the claim that was submitted under a ticket. */
export interface TicketVerdict {
    ticket: number;
    verdict: ClaimVerdict;
}
