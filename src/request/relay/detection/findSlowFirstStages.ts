import { Err, Ok, type Result } from "../../../result.ts";

/** A stream that this node has sent to a first stage. */
interface SentStream {
    endpointId: string;
    /** Monotonic time in milliseconds. */
    sentAt: number;
    /** Monotonic time of its first event, in milliseconds; undefined if there is none yet. */
    firstEventAt: number | undefined;
}

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
/** Time for which a first event tells how long the next one takes. */
const evidenceMilliseconds = 2_000;
const otherwiseSlowCause = "First events are late at other first stages too, or not known.";

/**
 * Finds the first stages that a second chain of a stream must avoid, since their first events are late. The newest stream of each
 * first stage counts.
 * @param late - The stream that waits.
 * @param streams - The streams that this node runs.
 * @param now - Monotonic time in milliseconds.
 * @returns Their ids, with that of the stream's own first stage; why there should be no second chain if not most of the others are fast.
 */
export function findSlowFirstStages(
    late: LateStream,
    streams: Iterable<SentStream>,
    now: number,
): Result<ReadonlySet<string>, string> {
    const limit = late.waitedMilliseconds * fastFraction;
    const newest = new Map<string, SentStream>();
    for (const stream of streams) {
        const isKnown = now - (stream.firstEventAt ?? now) <= evidenceMilliseconds
            && (stream.firstEventAt !== undefined || now - stream.sentAt > limit);
        if (isKnown && stream.sentAt >= (newest.get(stream.endpointId)?.sentAt ?? -Infinity)) {
            newest.set(stream.endpointId, stream);
        }
    }
    newest.delete(late.endpointId);
    const slow = [...newest.values()].filter(({ sentAt, firstEventAt }) => (firstEventAt ?? now) - sentAt > limit);
    const fastCount = newest.size - slow.length;
    if (fastCount > slow.length || fastCount === slow.length && late.isUrgent) {
        return Ok(new Set([late.endpointId, ...slow.map(({ endpointId }) => endpointId)]));
    }
    return Err(otherwiseSlowCause);
}
