import { Err, type Result } from "../../result.ts";
import type { StoredValue } from "../platform/platformStore.ts";
import type { ClaimRing } from "./claimRing.ts";
import { claimStoreKeys } from "./claimStoreKeys.ts";
import { parseClaimBatch } from "./parseClaimBatch.ts";

/**
 * Applies a stored slot to a ring. Returns an error with the reason if its contents are invalid or inconsistent.
 * @param ring - Ring of the slot's shard.
 * @param stored - Slot as read from the store.
 */
export function applyStoredSlot(ring: ClaimRing, stored: StoredValue): Result<void, string> {
    const batch = parseClaimBatch(stored.value);
    if (batch.err) {
        return Err(`Key ${stored.key} does not hold a valid batch of claims: ${batch.val}`);
    }
    return ring.applyBatch(claimStoreKeys.getSlot(stored.key), stored.revision, batch.val);
}
