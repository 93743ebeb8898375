import { createHash } from "node:crypto";
import type { RoutedRequest } from "./routedRequest.ts";

/** Long enough that two requests don't meet by chance, short enough for a line of the log. */
const fingerprintLength = 32;

/**
 * Gets what a request is recognized by when its caller sends it again: a hash of the caller, the path and the body. Its id
 * is new with each sending.
 * @param request - The request.
 * @param customer - Name of the customer that sends it; undefined where the route needs no key.
 */
export function fingerprintRequest(request: RoutedRequest, customer: string | undefined): string {
    const { method, host, target, body } = request;
    const head = JSON.stringify([customer ?? "", method, host, target]);
    return createHash("sha256").update(head).update(body).digest("hex").slice(0, fingerprintLength);
}
