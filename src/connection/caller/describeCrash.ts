import { InvariantError } from "../../process/invariantError.ts";
import { events } from "../../process/logging/events.ts";
import type { RequestEnvironment } from "../../request/requestEnvironment.ts";
import { RequestError } from "../../request/requestError.ts";

/**
 * Notes that the handler of a request has thrown, and creates the answer to the caller.
 * @param environment - Parts of the process.
 * @param request - Id of the request; empty where it is not known.
 * @param error - What was thrown.
 */
export function describeCrash(
    environment: Pick<RequestEnvironment, "log" | "metrics">,
    request: string,
    error: unknown,
): RequestError {
    const { log, metrics } = environment;
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof InvariantError) {
        metrics.invariantFailuresTotal.inc({ name: error.invariant });
        log.write(events.invariantBroken, { request, invariant: error.invariant, message });
        return RequestError.failed(`The check ${error.invariant} failed: ${message}`);
    }
    log.write(events.requestCrashed, { request, message });
    return RequestError.failed("The request ended by an unexpected error. Ask the operators for event FL1703.");
}
