import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";

/** Maximum fraction of the latency objective that is reserved for the first event; the rest may be spent in the queue. */
const maximumReserveFraction = 0.6;

/** Gets the latest start of a request that still meets its latency objective, as a monotonic time in milliseconds. */
export function getLatestOnTimeStart(
    { firstEvents }: Pick<RelayEnvironment, "firstEvents">,
    { request, route, isReturn }: Pick<RelayTask, "request" | "route" | "isReturn">,
): number {
    if (isReturn) {
        return -Infinity;
    }
    const reservedMilliseconds = Math.min(
        firstEvents.getExpected(),
        route.targetLatencyMilliseconds * maximumReserveFraction,
    );
    return request.arrivedAt + route.targetLatencyMilliseconds - reservedMilliseconds;
}
