import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { getCallerStay } from "./getCallerStay.ts";

/**
 * Maximum time that a request waits for free memory where its service has one rank. Its first event then still comes before the
 * caller gives up, and a late answer is worth more to callers than a refusal.
 */
const maximumWaitMilliseconds = 1_200;
/**
 * Gets the latest start of a request, on time or late, as a monotonic time in milliseconds. Where its service has several ranks, it
 * waits for as long as its caller stays, less the usual time to a first event.
 *
 * It is designed for bursts of lower ranks, whose requests wait while higher ranks use the memory.
 */
export function getLatestStart(
    { firstEvents }: Pick<RelayEnvironment, "firstEvents">,
    { request, route, ranks, dueAt }: Pick<RelayTask, "request" | "route" | "ranks" | "dueAt">,
): number {
    if (ranks.length < 2) {
        return Math.min(request.arrivedAt + maximumWaitMilliseconds, dueAt);
    }
    return Math.min(request.arrivedAt + Math.max(0, getCallerStay(route) - firstEvents.getExpected()), dueAt);
}
