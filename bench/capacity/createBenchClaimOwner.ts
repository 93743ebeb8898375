import { ClaimOwner, type ClaimOwnerOptions } from "../../src/process/claims/claimOwner.ts";
import { systemClock } from "../../src/process/systemClock.ts";

/**
 * Creates a claim owner with the default settings that decides claims of {@link createBenchClaim}.
 * @param options - The store, and options that replace the defaults.
 */
export function createBenchClaimOwner(
    options: Partial<ClaimOwnerOptions> & Pick<ClaimOwnerOptions, "store">,
): ClaimOwner {
    return ClaimOwner.create({
        windowMilliseconds: 300_000,
        appendIntervalMilliseconds: 20,
        clock: systemClock,
        log: { write: () => undefined },
        ownerId: `owner-${Math.random()}`,
        shards: 256,
        getShardOfKey: key => Number(key.split("-")[1]),
        giveUpMilliseconds: 10_000,
        ...options,
    });
}
