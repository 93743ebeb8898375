import type { ServerResponse } from "node:http";
import { drainBody } from "./drainBody.ts";
import { hasUnreadBody } from "./hasUnreadBody.ts";

/**
 * Writes the body of a response that is the first on its connection. If the body of the request has not been received completely, the
 * response ends, which may close the connection, only after the rest of it is discarded. The connection closes if not all of it comes.
 * @param response - Response whose head is written.
 * @param body - The body.
 */
export function endAfterBody(response: ServerResponse, body: string | Buffer): void {
    if (!hasUnreadBody(response.req)) {
        response.end(body);
        return;
    }
    response.write(body);
    void drainBody(response.req).then(() => {
        response.end();
        if (hasUnreadBody(response.req)) {
            response.req.socket.destroySoon();
        }
    });
}
