import type { IncomingMessage } from "node:http";
import { text } from "node:stream/consumers";

/**
 * Reads the body of a request as JSON. An empty body results in an empty object.
 * @throws SyntaxError if the body is not valid JSON.
 */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
    const body = await text(request);
    return body === "" ? {} : JSON.parse(body);
}
