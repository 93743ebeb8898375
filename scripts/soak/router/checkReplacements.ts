import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isHeldTooLong } from "./isHeldTooLong.ts";
import { isUnanswered } from "./isUnanswered.ts";

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
