import { createHash } from "node:crypto";
import type { RoutedRequest } from "./routedRequest.ts";

/** Hexadecimal digits of a fingerprint: enough to make collisions unlikely, and short enough for a log line. */
const fingerprintLength = 32;

/**
 * Gets the fingerprint by which a request is recognized when its caller retries it: a hash of the customer, the method, the
 * host, the path and the body. The request id differs between retries.
 * @param request - The request.
 * @param customer - Name of the customer that sends it; undefined if the route needs no key.
 */
export function fingerprintRequest(request: RoutedRequest, customer: string | undefined): string {
    const { method, host, target, body } = request;
    const head = JSON.stringify([customer ?? "", method, host, target]);
    return createHash("sha256").update(head).update(body).digest("hex").slice(0, fingerprintLength);
}
