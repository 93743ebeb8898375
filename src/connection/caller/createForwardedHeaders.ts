import type { IncomingHttpHeaders } from "node:http";

/**
 * Headers of a caller's request that are not forwarded:
 *
 * - hop-by-hop headers, which apply to one connection or one proxy (RFC 9110, section 7.6.1);
 * - `content-length` and `host`, which the HTTP client sets;
 * - `authorization` and `expect`, which this node handles itself;
 * - `idempotency-key` and `traceparent`, which this node reads and then sets itself.
 */
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
 * Creates the headers that are forwarded to a document service: those of the caller's request except the
 * {@link droppedHeaders} and headers that Node.js parses into an array, such as `set-cookie`.
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
