import type { IncomingHttpHeaders } from "node:http";

/** Headers that are not forwarded, because they apply to one connection (RFC 9110, section 7.6.1) or to foxlead. */
const droppedHeaders: ReadonlySet<string> = new Set([
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/**
 * Gets the headers of a caller's request that are forwarded to a document service.
 * @param headers - Headers of the caller's request.
 */
export function createForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (typeof value === "string" && !droppedHeaders.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
}
