import type { IncomingMessage } from "node:http";

/**
 * Checks if the body of a request has not been received completely.
 * @param request - The caller's request.
 */
export function hasUnreadBody(request: IncomingMessage): boolean {
    const { "content-length": length = "0", "transfer-encoding": encoding } = request.headers;
    return !request.complete && (encoding !== undefined || Number(length) > 0);
}
