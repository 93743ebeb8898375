import type { Claim } from "./claim.ts";
import type { WaitingClaim } from "./waitingClaim.ts";

/** Most characters in one batch's claims. Keeps the stored value below the store's limit of 1 MB. */
const maximumCharacters = 250_000;

/**
 * Selects the claims for the next append: the oldest claim of each key, as many as fit into one stored value.
 * @param waiting - Waiting claims, oldest first.
 */
export function selectBatchClaims(waiting: readonly WaitingClaim[]): Claim[] {
    const claims = new Map<string, Claim>();
    let characters = 0;
    for (const { claim } of waiting) {
        if (claims.has(claim.key)) {
            continue;
        }
        characters += claim.key.length + claim.bodyHash.length + claim.claimant.length + claim.nodeId.length;
        if (claims.size > 0 && characters > maximumCharacters) {
            break;
        }
        claims.set(claim.key, claim);
    }
    return [...claims.values()];
}
