import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isUnanswered } from "./isUnanswered.ts";
import type { RouterFaults } from "./routerFaults.ts";

/**
 * Checks that streams that may be resumed go on while their callers wait, though an endpoint was replaced as planned and others refused them
 * as full for less than that time, unless another fault explains it.
 */
export function checkReplacements(context: CheckContext): void {
    const isLost = (record: CallRecord) => isUnanswered(record) || isHeldTooLong(record, context.faults);
    for (const { record, text, targets } of findLostRequests(context, harmlessFaultKinds.replaced, isLost)) {
        context.violations.add("displaced", `${text}, while ${targets} was replaced.`, record);
    }
}

/** Gets if a caller has left its stream because no event followed the first ones, though no endpoint stood still. */
function isHeldTooLong({ leftAt, patienceMilliseconds, sentAt, text }: CallRecord, faults: RouterFaults): boolean {
    return leftAt !== undefined && patienceMilliseconds !== undefined && text !== ""
        && !faults.getOfKind(harmlessFaultKinds.standsStill).some(({ from, to }) => from <= leftAt && to >= sentAt);
}
