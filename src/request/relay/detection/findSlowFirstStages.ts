import { Err, Ok, type Result } from "../../../result.ts";
import type { FirstStageTimes } from "./firstStageTimes.ts";

/** A stream whose first event is late. */
interface LateStream {
    /** Id of the first stage that has it. */
    endpointId: string;
    /** Time that it has waited beyond the time that its own prompt takes, in milliseconds. */
    waitedMilliseconds: number;
    /** Whether its caller may leave soon, so that it is sent elsewhere unless most others are known to be late too. */
    isUrgent: boolean;
}

/** Other first stages count as fast if their first events take at most this fraction of the wait, and as slow otherwise. */
const fastFraction = 0.5;
const otherwiseSlowCause = "First events are late at other first stages too, or not known.";

/**
 * Finds the first stages that a second chain of a stream must avoid, since their first events are late. The newest stream of each
 * first stage counts.
 * @param late - The stream that waits.
 * @param firstStages - What the streams that this node runs tell of each first stage.
 * @returns Their ids, with that of the stream's own first stage; why there should be no second chain if not most of the others are fast.
 */
export function findSlowFirstStages(
    late: LateStream,
    firstStages: ReadonlyMap<string, FirstStageTimes>,
): Result<ReadonlySet<string>, string> {
    const limit = late.waitedMilliseconds * fastFraction;
    const slow = new Set([late.endpointId]);
    let slowCount = 0;
    let fastCount = 0;
    for (const [endpointId, { answeredMilliseconds, waitingMilliseconds }] of firstStages) {
        if (endpointId === late.endpointId) {
            continue;
        }
        if (Math.max(waitingMilliseconds, answeredMilliseconds ?? 0) > limit) {
            slow.add(endpointId);
            slowCount += 1;
        }
        else if (answeredMilliseconds !== undefined) {
            fastCount += 1;
        }
    }
    if (fastCount > slowCount || fastCount === slowCount && late.isUrgent) {
        return Ok(slow);
    }
    return Err(otherwiseSlowCause);
}
