import type { FirstStageTimes } from "./firstStageTimes.ts";

/** A stream that this node has sent to a first stage. */
interface SentStream {
    endpointId: string;
    /** Monotonic time in milliseconds. */
    sentAt: number;
    /** Monotonic time of its first event, in milliseconds; undefined if there is none yet. */
    firstEventAt: number | undefined;
}

/** Time for which a first event tells how long the next one takes. */
const evidenceMilliseconds = 2_000;

/**
 * Summarizes the streams at each first stage, so that they are read once for all streams that wait.
 * @param streams - The streams that this node runs.
 * @param now - Monotonic time in milliseconds.
 * @returns The times by the id of the first stage.
 */
export function summarizeFirstStages(
    streams: readonly SentStream[],
    now: number,
): ReadonlyMap<string, FirstStageTimes> {
    const answeredSentAt = new Map<string, number>();
    const times = new Map<string, FirstStageTimes>();
    for (const { endpointId, sentAt, firstEventAt = -Infinity } of streams) {
        const isNewest = sentAt >= (answeredSentAt.get(endpointId) ?? -Infinity);
        if (isNewest && now - firstEventAt <= evidenceMilliseconds) {
            answeredSentAt.set(endpointId, sentAt);
            times.set(endpointId, { answeredMilliseconds: firstEventAt - sentAt, waitingMilliseconds: 0 });
        }
    }
    for (const { endpointId, sentAt, firstEventAt } of streams) {
        if (firstEventAt === undefined && sentAt >= (answeredSentAt.get(endpointId) ?? -Infinity)) {
            const known = times.get(endpointId) ?? { answeredMilliseconds: undefined, waitingMilliseconds: 0 };
            known.waitingMilliseconds = Math.max(known.waitingMilliseconds, now - sentAt);
            times.set(endpointId, known);
        }
    }
    return times;
}
