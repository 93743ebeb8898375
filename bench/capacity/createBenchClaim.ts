import { v7 } from "uuid";
import type { Claim } from "../../src/process/claims/claim.ts";
import { createClaimKey } from "../../src/process/claims/createClaimKey.ts";

/**
 * Creates a claim with a unique key.
 * @param shard - Shard of the claim, which is part of the customer's name.
 */
export function createBenchClaim(shard: number): Claim {
    return {
        key: createClaimKey(`customer-${shard}-north`, v7()),
        bodyHash: "47DEQpj8HBSa-_TImW-5JCeuQeRkm5NMpJWZG3hSuFU",
        claimant: v7(),
        nodeId: "entry-120",
    };
}
