import type { IncomingMessage } from "node:http";

/**
 * Tells whether the caller still sends, or still has to send, the body of a request.
 * @param request - The caller's request.
 */
export function hasUnreadBody(request: IncomingMessage): boolean {
    const { "content-length": length = "0", "transfer-encoding": encoding } = request.headers;
    return !request.complete && (encoding !== undefined || Number(length) > 0);
}
