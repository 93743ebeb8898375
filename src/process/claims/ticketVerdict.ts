import type { ClaimVerdict } from "./claimVerdict.ts";

/** Verdict for the claim that was submitted with a ticket. */
export interface TicketVerdict {
    /** Number that identifies the claim between its submission to a shard and its verdict. */
    ticket: number;
    verdict: ClaimVerdict;
}
