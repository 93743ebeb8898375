import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isHeldTooLong } from "./isHeldTooLong.ts";

/**
 * Checks that requests that were sent to an endpoint are answered though it stood still or others refused them as full, and that their
 * callers don't leave without an event though it began late, unless another fault explains it.
 */
export function checkSilences(context: CheckContext): void {
    for (const { record, text, targets } of findLostRequests(context, harmlessFaultKinds.standsStill)) {
        context.violations.add("silenced", `${text}, while ${targets} stood still.`, record);
    }
    const hasNoEvent = (record: CallRecord) => isHeldTooLong(record, context.faults, false);
    for (const { record, text, targets } of findLostRequests(context, harmlessFaultKinds.beginsLate, hasNoEvent)) {
        context.violations.add("notBegun", `${text}, while ${targets} began late and others were free.`, record);
    }
}
