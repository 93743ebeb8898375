import type { CallRecord } from "./callRecord.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import type { RouterFaults } from "./routerFaults.ts";

/** Gets if a caller has left its stream because no event followed the first ones, though no endpoint stood still. */
export function isHeldTooLong(
    { leftAt, patienceMilliseconds, sentAt, text }: CallRecord,
    faults: RouterFaults,
): boolean {
    return leftAt !== undefined && patienceMilliseconds !== undefined && text !== ""
        && !faults.getOfKind(harmlessFaultKinds.standsStill).some(({ from, to }) => from <= leftAt && to >= sentAt);
}
