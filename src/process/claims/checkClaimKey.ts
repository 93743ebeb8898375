import { Err, Ok, type Result } from "../../result.ts";
import { type ClaimKeyError, ClaimKeyErrorKind } from "./claimKeyError.ts";
import { claimTimes } from "./claimTimes.ts";
import { getIssueTime } from "./getIssueTime.ts";

/**
 * Checks that a key may be claimed now. Gets its issue time in milliseconds since the Unix epoch.
 * @param key - Claim key, see `createClaimKey`.
 * @param wallTime - Wall-clock time in milliseconds since the Unix epoch.
 * @param windowMilliseconds - How long a key is valid after its issue time.
 */
export function checkClaimKey(
    key: string,
    wallTime: number,
    windowMilliseconds: number,
): Result<number, ClaimKeyError> {
    const issuedAt = getIssueTime(key);
    if (issuedAt === undefined) {
        return Err({
            kind: ClaimKeyErrorKind.Malformed,
            message: "The idempotency key is not a UUID of version 7. Create one for each new request.",
        });
    }
    if (wallTime - issuedAt > windowMilliseconds) {
        return Err({
            kind: ClaimKeyErrorKind.TooOld,
            message: `The idempotency key is older than ${windowMilliseconds} ms, so it is unknown whether its`
                + " request has run. Look up the outcome before sending the request with a new key.",
        });
    }
    if (issuedAt - wallTime > claimTimes.futureToleranceMilliseconds) {
        return Err({
            kind: ClaimKeyErrorKind.InFuture,
            message: `The idempotency key was issued ${issuedAt - wallTime} ms in the future.`
                + " Correct the clock of the machine that issued it, then send the request with a new key.",
        });
    }
    return Ok(issuedAt);
}
