import type { IncomingMessage } from "node:http";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";

/**
 * Reads a request's body into memory, up to a bound.
 * @param request - The caller's request.
 * @param maximumBytes - Bodies above this are refused.
 */
export async function readBody(
    request: IncomingMessage,
    maximumBytes: number,
): Promise<Result<Buffer, RequestError>> {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    if (announcedBytes > maximumBytes) {
        return Err(createTooLargeError(maximumBytes));
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request) {
            length += (chunk as Buffer).length;
            if (length > maximumBytes) {
                return Err(createTooLargeError(maximumBytes));
            }
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return Err(RequestError.cancelled());
    }
    return Ok(Buffer.concat(chunks));
}

function createTooLargeError(maximumBytes: number): RequestError {
    const message = `The body is larger than ${maximumBytes} bytes. Send a shorter one.`;
    return RequestError.invalid(413, "body_too_large", message);
}
