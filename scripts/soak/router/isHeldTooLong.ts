import type { CallRecord } from "./callRecord.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import type { RouterFaults } from "./routerFaults.ts";

/**
 * Gets if a caller has left its stream because no event followed the first ones, though no endpoint stood still.
 * @param isBegun - Whether there were any. Without, the caller has left because no event came at all.
 */
export function isHeldTooLong(
    { leftAt, patienceMilliseconds, sentAt, text }: CallRecord,
    faults: RouterFaults,
    isBegun = true,
): boolean {
    return leftAt !== undefined && patienceMilliseconds !== undefined && isBegun === (text !== "")
        && !faults.getOfKind(harmlessFaultKinds.standsStill).some(({ from, to }) => from <= leftAt && to >= sentAt);
}
