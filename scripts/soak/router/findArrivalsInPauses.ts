import type { ArrivalRecord } from "../../../standins/router/arrivalRecord.ts";
import type { UnwantedArrival } from "./unwantedArrival.ts";

/** Time after a refusal from which the requests within its pause count. */
const reactionMilliseconds = 500;
const allowedInPause = 2;

/**
 * Finds the requests beyond those that are allowed in the pauses that an endpoint has asked a node for.
 * @param arrivals - Arrivals of the node's requests at one incarnation of the endpoint.
 */
export function findArrivalsInPauses(arrivals: readonly ArrivalRecord[]): UnwantedArrival[] {
    const unwanted: UnwantedArrival[] = [];
    for (const { arrivedAt: askedAt, pauseEndsAt = -Infinity } of arrivals) {
        const counted = arrivals.filter(({ arrivedAt }) =>
            arrivedAt > askedAt + reactionMilliseconds && arrivedAt < pauseEndsAt
        );
        const [first] = counted.slice(allowedInPause);
        if (first !== undefined) {
            const { requestId, arrivedAt } = first;
            const text = `It is one of ${counted.length} requests within a pause of ${pauseEndsAt - askedAt} ms.`;
            unwanted.push({ requestId, askedAt, arrivedAt, text });
        }
    }
    return unwanted;
}
