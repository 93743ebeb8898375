import type { IncomingMessage } from "node:http";
import { text } from "node:stream/consumers";

/**
 * Reads the body of a request as JSON; an empty one counts as an empty object.
 * @param request - Request.
 * @throws SyntaxError where the body isn't JSON.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
    const body = await text(request);
    return body === "" ? {} : JSON.parse(body);
}
