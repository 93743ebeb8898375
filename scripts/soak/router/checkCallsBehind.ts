import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import { endingNodeFaults } from "./endingNodeFaults.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;
/** Time after its last byte within which a request that crosses the end of its connection may get nothing. */
const lossSlackMilliseconds = 200;
/** Maximum of requests that are forwarded and get nothing because the answer ahead of them was cut. */
const maximumLostWithAhead = 3;

/**
 * Checks that requests that were sent before the answer ahead of them had ended are answered or refused, unless the connection ends at once.
 * If that answer was cut, which ends the connection, only requests that were forwarded count, and only if there are several.
 */
export function checkCallsBehind(context: CheckContext): void {
    const { endpoints, records, violations } = context;
    const lostWithAhead: CallRecord[] = [];
    for (const record of records.values()) {
        const ahead = records.get(record.aheadId ?? "");
        if (ahead === undefined || !isUnexplained(record, context)) {
            continue;
        }
        const isForwarded = endpoints.some(endpoint => endpoint.history.hasReceived(record.id));
        const milliseconds = record.endedAt - record.sentAt;
        if (ahead.isComplete && (isForwarded || milliseconds > lossSlackMilliseconds)) {
            const what = isForwarded ? "It was forwarded and" : "It";
            violations.add("unanswered", `${what} got nothing for ${milliseconds} ms: ${record.reason}`, record);
        }
        if (!ahead.isComplete && isForwarded) {
            lostWithAhead.push(record);
        }
    }
    if (lostWithAhead.length > maximumLostWithAhead) {
        const text =
            `It is one of ${lostWithAhead.length} that were forwarded and got nothing as the answer ahead was cut.`;
        violations.add("unanswered", text, lostWithAhead.at(-1)!);
    }
}

/** Gets if the connection ended before any answer to a request, while its caller waited and no fault ended the node. */
function isUnexplained({ status, leftAt, node, sentAt, endedAt }: CallRecord, { faults }: CheckContext): boolean {
    return status === 0 && leftAt === undefined
        && !faults.hasFault(endingNodeFaults, sentAt - settleMilliseconds, endedAt, node);
}
