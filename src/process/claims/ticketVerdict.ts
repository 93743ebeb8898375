import type { ClaimVerdict } from "./claimVerdict.ts";

/** Verdict for the claim that was submitted with a ticket. */
export interface TicketVerdict {
    ticket: number;
    verdict: ClaimVerdict;
}
