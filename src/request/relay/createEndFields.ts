import { RefusalReason } from "./answers/refusalReason.ts";
import { getSentMilliseconds } from "./getSentMilliseconds.ts";
import type { RelayEnvironment } from "./relayEnvironment.ts";
import type { RelayTask } from "./relayTask.ts";

/** How a relayed request ended. */
interface RelayEnd {
    outcome: string;
    cause: string;
    /** Number of attempts. */
    attemptCount: number;
    /** Monotonic time in milliseconds at which the first byte was sent to an endpoint. */
    firstSentAt: number | undefined;
    /** Address of the node through which the endpoint was reached; undefined if the connection was direct. */
    peer: string | undefined;
    /** Data centres of the endpoints of the last attempt, in order; empty if there was none. */
    dataCentres: readonly string[];
}

/** Outcomes of requests that an endpoint may have run and whose callers got no complete answer of it. */
const incompleteOutcomes = new Set<string>([
    "cut",
    "cutAtTimeout",
    "cutAtStop",
    RefusalReason.OutcomeUnknown,
    RefusalReason.TimedOut,
]);

/**
 * Creates the fields of the log event `relayEnded` that streams and documents share.
 * @param environment - Shared services of relayed requests.
 * @param task - The request.
 * @param end - How it ended.
 */
export function createEndFields(
    environment: Pick<RelayEnvironment, "clock" | "dataCentre" | "getConditions" | "stop">,
    task: RelayTask,
    end: RelayEnd,
): Record<string, string | number> {
    const { request, route, rank, customer, fingerprint, takenUpLateMilliseconds } = task;
    const now = environment.clock.getMonotonicTime();
    return {
        request: request.id,
        route: route.name,
        rank,
        customer: customer ?? "",
        dataCentre: environment.dataCentre,
        dataCentres: end.dataCentres.join(","),
        outcome: end.outcome,
        cause: end.cause,
        fingerprint,
        attempts: end.attemptCount,
        peer: end.peer ?? "",
        takenUpLateMilliseconds: Math.round(takenUpLateMilliseconds),
        sentMilliseconds: getSentMilliseconds(end.firstSentAt, request.arrivedAt),
        milliseconds: Math.round(now - request.arrivedAt),
        ...environment.stop.describe(request.arrivedAt, now),
        ...incompleteOutcomes.has(end.outcome) ? environment.getConditions() : {},
    };
}
