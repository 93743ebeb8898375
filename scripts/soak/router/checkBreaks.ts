import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { findLostRequests } from "./findLostRequests.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isHeldTooLong } from "./isHeldTooLong.ts";
import { isUnanswered } from "./isUnanswered.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** What the refusal of a request says that is held back because it seems to crash endpoints. */
const heldBackPattern = /endpoints failed while they ran/;

/**
 * Checks that requests which endpoints have broken off and that may be resumed go on elsewhere, and that none of them is held back as
 * harmful, unless another fault explains it.
 */
export function checkBreaks(context: CheckContext): void {
    const { faults, records, violations } = context;
    const lost = findLostRequests(
        context,
        harmlessFaultKinds.breaksOff,
        record => isUnanswered(record) || isHeldTooLong(record, faults),
    );
    for (const { record, text, targets } of lost) {
        violations.add("brokenOff", `${text}, while ${targets} broke off single streams.`, record);
    }
    for (const record of records.values()) {
        if (heldBackPattern.test(record.text) && isDuringBreaks(record, faults) && !hasOtherFault(record, context)) {
            violations.add("heldBack", `It is harmless and ended with ${record.status}: ${record.text}`, record);
        }
    }
}

function isDuringBreaks({ sentAt, endedAt }: CallRecord, faults: RouterFaults): boolean {
    return faults.getOfKind(harmlessFaultKinds.breaksOff).some(({ from, to }) => from <= sentAt && to >= endedAt);
}

/** Gets if an endpoint may have crashed under a request that is held back. */
function hasOtherFault({ sentAt, endedAt }: CallRecord, { endpoints, faults }: CheckContext): boolean {
    const from = sentAt - settleMilliseconds;
    return endpoints.some(({ name, history }) =>
        history.hasChanged(from, endedAt) || faults.hasOtherEndpointFault(name, from, endedAt)
    );
}
