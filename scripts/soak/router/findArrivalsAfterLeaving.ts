import type { ArrivalRecord } from "../../../standins/router/arrivalRecord.ts";
import type { UnwantedArrival } from "./unwantedArrival.ts";

const drainMilliseconds = 2_000;

/**
 * Finds the requests that arrived although their callers sent them after the drain time of an endpoint that had announced to the
 * node that it is leaving.
 * @param arrivals - Arrivals of the node's requests at one incarnation of the endpoint, in order.
 * @param getSentTime - Gets the wall-clock time at which a request's caller sent it, in milliseconds.
 */
export function findArrivalsAfterLeaving(
    arrivals: readonly ArrivalRecord[],
    getSentTime: (requestId: string) => number,
): UnwantedArrival[] {
    const askedAt = arrivals.find(({ isLeavingAnnounced }) => isLeavingAnnounced)?.arrivedAt ?? Infinity;
    return arrivals
        .filter(({ requestId }) => getSentTime(requestId) > askedAt + drainMilliseconds)
        .map(({ requestId, arrivedAt }) => ({
            requestId,
            askedAt,
            arrivedAt,
            text: `It was sent more than ${drainMilliseconds} ms after the endpoint announced that it is leaving.`,
        }));
}
