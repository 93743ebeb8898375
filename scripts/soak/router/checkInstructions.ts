import type { CheckContext } from "./checkContext.ts";
import { findArrivalsAfterLeaving } from "./findArrivalsAfterLeaving.ts";
import { findArrivalsInPauses } from "./findArrivalsInPauses.ts";
import { RouterFaults } from "./routerFaults.ts";

const { settleMilliseconds } = RouterFaults;

/** Checks that nodes without faults heed the pauses and the announced leaving of endpoints, also while the store is faulty. */
export function checkInstructions({ endpoints, faults, records, violations }: CheckContext): void {
    const getSentTime = (requestId: string) => records.get(requestId)?.sentAt ?? -Infinity;
    for (const { endpointId, arrivals } of endpoints.flatMap(each => each.history.getArrivals())) {
        const byNode = Map.groupBy(arrivals, ({ requestId }) => records.get(requestId)?.node);
        for (const [node, ofNode] of byNode) {
            const unwanted = [...findArrivalsInPauses(ofNode), ...findArrivalsAfterLeaving(ofNode, getSentTime)];
            for (const { requestId, askedAt, arrivedAt, text } of unwanted) {
                if (
                    node !== undefined
                    && !faults.hasFault(["node"], askedAt - settleMilliseconds, arrivedAt, node)
                ) {
                    violations.addForRun("instruction", text, { id: requestId, endpointId, arrivedAt });
                }
            }
        }
    }
}
