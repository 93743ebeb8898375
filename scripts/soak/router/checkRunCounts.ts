import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import type { CheckContext } from "./checkContext.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { longPathPrefix } from "./longPathPrefix.ts";
import { notRunStatuses } from "./notRunStatuses.ts";

/** Maximum of attempts that the routes allow. */
const maximumAttempts = 2;
const timeoutMilliseconds = 3_000;
/** Time after its last byte within which a request that crosses the end of its connection may get nothing. */
const lossSlackMilliseconds = 200;
const closedPattern = /other side closed|ECONNRESET|socket hang up/;
/** An endpoint that a request crashes closes its connections this long before its end is noted, at most. */
const endNoticeMilliseconds = 500;

/** Checks how often a request ran, and that it was not interrupted beside planned operations only. */
export function checkRunCounts(
    record: CallRecord,
    runs: readonly EndpointRun[],
    { endpoints, faults, violations }: CheckContext,
): void {
    const { kind, status, isComplete, endedAt } = record;
    const isOnce = kind === callKinds.unsafe || kind === callKinds.once;
    if (isOnce && runs.length > 1) {
        violations.add("twice", `It ran ${runs.length} times.`, record);
    }
    if (isOnce && runs.length > 0 && notRunStatuses.includes(status)) {
        violations.add("refused", `It was refused with ${status} but ran at ${runs[0]!.endpointId}.`, record);
    }
    const lasting = runs.length > maximumAttempts ? runs.filter(run => !hasEnded(endpoints, run, endedAt)) : [];
    const endpointIds = new Set(lasting.map(({ endpointId }) => endpointId));
    if (endpointIds.size > maximumAttempts) {
        const places = lasting.map(({ endpointId, arrivedAt }) => `${endpointId} at ${arrivedAt - record.sentAt} ms`);
        violations.add("attempts", `It ran on ${endpointIds.size} endpoints: ${places.join(", ")}.`, record);
    }
    // A request without a run may have been sent just as the node closed the idle connection.
    const milliseconds = endedAt - record.sentAt;
    const isRead = runs.length > 0 || milliseconds > lossSlackMilliseconds && closedPattern.test(record.reason);
    const isCut = !isComplete && isRead && record.leftAt === undefined;
    // A long stream that has begun may be cut at the end of the time that its node has to stop.
    const isInTime = record.path.startsWith(longPathPrefix) ? status === 0 : milliseconds < timeoutMilliseconds;
    if (isCut && isInTime && faults.hasOnlyPlannedOperations(record)) {
        violations.add("lost", `It was interrupted after ${milliseconds} ms: ${record.reason}`, record);
    }
}

/** Gets if the endpoint incarnation of a run ended before a time; such runs don't count towards the limit of attempts. */
function hasEnded(endpoints: CheckContext["endpoints"], { endpointId }: EndpointRun, at: number): boolean {
    return endpoints.some(endpoint =>
        (endpoint.history.getEndedAt(endpointId) ?? Infinity) <= at + endNoticeMilliseconds
    );
}
