import { InvariantError } from "../../process/invariantError.ts";
import { events } from "../../process/logging/events.ts";
import type { RequestEnvironment } from "../../request/requestEnvironment.ts";
import { RequestError } from "../../request/requestError.ts";

/**
 * Logs and counts an error that the handler of a request threw, and creates the error for the caller.
 * @param environment - Log and metrics of the process.
 * @param request - ID of the request, or an empty string if it is unknown.
 * @param error - The thrown value.
 */
export function reportCrash(
    environment: Pick<RequestEnvironment, "log" | "metrics">,
    request: string,
    error: unknown,
): RequestError {
    const { log, metrics } = environment;
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof InvariantError) {
        metrics.invariantFailuresTotal.inc({ name: error.invariant });
        log.write(events.invariantViolated, { request, invariant: error.invariant, message });
        return RequestError.failed(`The check ${error.invariant} failed: ${message}`);
    }
    log.write(events.requestCrashed, { request, message });
    return RequestError.failed("The request failed with an unexpected error. Ask the operators about event FL1703.");
}
