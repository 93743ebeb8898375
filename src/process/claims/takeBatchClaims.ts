import type { Claim } from "./claim.ts";
import type { WaitingClaim } from "./waitingClaim.ts";

/** Most characters of one batch's claims, so that the value stays under the service's megabyte. */
const maximumCharacters = 250_000;

/**
 * Takes the claims of the next append: the first of each key in the order of arrival, as many as fit a value.
 * @param waiting - Claims that wait, oldest first.
 */
export function takeBatchClaims(waiting: readonly WaitingClaim[]): Claim[] {
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
