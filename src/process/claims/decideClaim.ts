import { checkClaimKey } from "./checkClaimKey.ts";
import type { Claim } from "./claim.ts";
import { ClaimKeyErrorKind } from "./claimKeyError.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import type { ClaimRing } from "./claimRing.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";

/** What a claim is decided from. */
export interface DecideClaimOptions {
    ring: ClaimRing;
    /** Whether the ring has been read up to its tail. */
    isReady: boolean;
    /** Wall-clock time in milliseconds since the Unix epoch. */
    wallTime: number;
    /** How long a key counts after its issue time, in milliseconds. */
    windowMilliseconds: number;
}

/**
 * Decides a claim from what is in memory; undefined where the claim has to be appended first.
 * What the ring holds has taken effect, so it counts also while the ring is being read.
 * @param claim - Claim to decide.
 * @param options - What is known.
 */
export function decideClaim(claim: Claim, options: DecideClaimOptions): ClaimVerdict | undefined {
    const { ring, isReady, wallTime, windowMilliseconds } = options;
    const holder = ring.getClaim(claim.key);
    if (holder !== undefined) {
        return decideAgainst(claim, holder);
    }
    const check = checkClaimKey(claim.key, wallTime, windowMilliseconds);
    if (check.err && (isReady || check.val.kind === ClaimKeyErrorKind.Malformed)) {
        return { outcome: ClaimOutcome.TooOld, message: check.val.message };
    }
    if (check.err || !isReady || !ring.isNextSlotFree(wallTime)) {
        return undefined;
    }
    if (ring.isForgotten(check.val)) {
        return {
            outcome: ClaimOutcome.TooOld,
            message: "The idempotency key is older than claims that are already forgotten."
                + " Look up the outcome before sending the request with a new key.",
        };
    }
    return undefined;
}

function decideAgainst(claim: Claim, holder: Claim): ClaimVerdict {
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
        message: "The request with this idempotency key was already started. Ask the named node for its answer.",
    };
}
