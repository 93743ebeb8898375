import type { PassFailure } from "./passFailure.ts";

/**
 * Creates the failure of a pass.
 * @param endpoint - Name of the endpoint.
 * @param kind - Kind of failure, which states if the pass may have run.
 * @param reason - Reason given by the endpoint, or a description of the connection error.
 */
export function createPassFailure(endpoint: string, kind: PassFailure["kind"], reason: string): PassFailure {
    return { kind, endpoint, reason, message: `Endpoint ${endpoint} returned no result: ${reason}.` };
}
