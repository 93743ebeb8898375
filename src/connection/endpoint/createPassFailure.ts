import type { PassFailure } from "./passFailure.ts";

/**
 * Creates the failure of a pass.
 * @param endpoint - Name of the endpoint.
 * @param kind - What is known of whether it ran.
 * @param reason - The endpoint's reason, or what was seen of the connection.
 */
export function createPassFailure(endpoint: string, kind: PassFailure["kind"], reason: string): PassFailure {
    return { kind, endpoint, reason, message: `Endpoint ${endpoint} brought no result: ${reason}.` };
}
