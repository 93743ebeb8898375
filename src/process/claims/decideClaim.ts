import { checkClaimKey } from "./checkClaimKey.ts";
import type { Claim } from "./claim.ts";
import { ClaimKeyErrorKind } from "./claimKeyError.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import type { ClaimRing } from "./claimRing.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";

/** Options of {@link decideClaim}. */
export interface DecideClaimOptions {
    ring: ClaimRing;
    /** Whether the ring has been read up to its tail. */
    isReady: boolean;
    /** Wall-clock time in milliseconds since the Unix epoch. */
    wallTime: number;
    /** How long a key is valid after its issue time, in milliseconds. */
    windowMilliseconds: number;
}

/**
 * Decides a claim from the ring in memory. Returns undefined if the claim has to be appended or the ring read first.
 * Claims in the ring have taken effect, so they also decide while the ring is still being read.
 * @param claim - Claim to decide.
 * @param options - State of the shard.
 */
export function decideClaim(claim: Claim, options: DecideClaimOptions): ClaimVerdict | undefined {
    const { ring, isReady, wallTime, windowMilliseconds } = options;
    const holder = ring.getClaim(claim.key);
    if (holder !== undefined) {
        return decideClaimedKey(claim, holder);
    }
    const check = checkClaimKey(claim.key, wallTime, windowMilliseconds);
    if (check.err && (isReady || check.val.kind === ClaimKeyErrorKind.Malformed)) {
        return { outcome: ClaimOutcome.TooOld, message: check.val.message };
    }
    if (check.err || !isReady || !ring.isNextSlotFree(wallTime)) {
        return undefined;
    }
    if (ring.isBelowHorizon(check.val)) {
        return {
            outcome: ClaimOutcome.TooOld,
            message: "The idempotency key is older than claims that were already dropped."
                + " Look up the outcome before sending the request with a new key.",
        };
    }
    return undefined;
}

function decideClaimedKey(claim: Claim, holder: Claim): ClaimVerdict {
    const { claimant, nodeId } = holder;
    if (claim.bodyHash !== holder.bodyHash) {
        return {
            outcome: ClaimOutcome.BodyMismatch,
            claimant,
            nodeId,
            message: "The idempotency key was used with another body. Create a new key for each new request.",
        };
    }
    if (claim.claimant === claimant) {
        return { outcome: ClaimOutcome.Granted, claimant, nodeId };
    }
    return {
        outcome: ClaimOutcome.Taken,
        claimant,
        nodeId,
        message: "The request with this idempotency key was already started. Ask the named node for its response.",
    };
}
