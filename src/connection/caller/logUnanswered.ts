import type { EventLog } from "../../process/logging/eventLog.ts";
import type { CallerConnection } from "./callerConnection.ts";
import type { CallerExchange } from "./callerExchange.ts";

/**
 * Logs the requests of a connection that has closed that were read and got neither an answer nor a refusal, unless their caller left.
 * @param connection - The connection.
 * @param log - The log.
 * @param now - Monotonic time in milliseconds.
 */
export function logUnanswered(connection: CallerConnection, log: EventLog, now: number): void {
    const { exchanges, waiting, reason, hasCallerLeft, unanswered } = connection;
    if (hasCallerLeft) {
        return;
    }
    for (const exchange of exchanges) {
        if (exchange.request.complete && !isBeingSent(exchange)) {
            unanswered.add(exchange.request, exchange.arrivedAt);
        }
    }
    for (const { request, arrivedAt } of waiting) {
        unanswered.add(request, arrivedAt);
    }
    unanswered.writeTo(log, reason, now);
}

/** Checks if the head of a response is written, and the response is the first on its connection. */
function isBeingSent({ response }: CallerExchange): boolean {
    return response.headersSent && response.socket !== null;
}
