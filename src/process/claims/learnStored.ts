import { Err, type Result } from "../../result.ts";
import type { StoredValue } from "../platform/platformStore.ts";
import type { ClaimRing } from "./claimRing.ts";
import { claimStoreKeys } from "./claimStoreKeys.ts";
import { parseClaimBatch } from "./parseClaimBatch.ts";

/**
 * Takes a stored slot into a ring. The error says why its content does not fit.
 * @param ring - Ring of the slot's shard.
 * @param stored - Slot as read from the service.
 */
export function learnStored(ring: ClaimRing, stored: StoredValue): Result<void, string> {
    const batch = parseClaimBatch(stored.value);
    if (batch.err) {
        return Err(`The key ${stored.key} holds no batch of claims: ${batch.val}`);
    }
    return ring.learn(claimStoreKeys.getSlot(stored.key), stored.revision, batch.val);
}
