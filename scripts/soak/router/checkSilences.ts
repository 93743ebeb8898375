import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isHeldTooLong } from "./isHeldTooLong.ts";

/** Time within which a request reaches its first endpoint. */
const firstAttemptMilliseconds = 500;

/**
 * Checks that requests that were sent to an endpoint are answered though it stood still or others refused them as full, and that their
 * callers don't leave without an event though it began late, unless another fault explains it.
 */
export function checkSilences(context: CheckContext): void {
    for (const { record, text, targets } of findLostRequests(context, harmlessFaultKinds.standsStill)) {
        context.violations.add("silenced", `${text}, while ${targets} stood still.`, record);
    }
    const { endpoints, faults } = context;
    const { beginsLate } = harmlessFaultKinds;
    // An endpoint begins only those requests late that reach it at that time.
    const isAtLate = ({ id, sentAt }: CallRecord) =>
        endpoints.some(({ name, history }) =>
            history.hasReceived(id) && faults.hasFaultAt(beginsLate, name, sentAt, sentAt + firstAttemptMilliseconds)
        );
    const hasNoEvent = (record: CallRecord) => isHeldTooLong(record, faults, false) && isAtLate(record);
    for (const { record, text, targets } of findLostRequests(context, beginsLate, hasNoEvent)) {
        context.violations.add("notBegun", `${text}, while ${targets} began late and others were free.`, record);
    }
}
