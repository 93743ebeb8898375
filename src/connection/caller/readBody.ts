import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";

const continuePattern = /^100-continue$/i;

/**
 * Reads a request's body into memory, up to a bound. A body above it is not read on; a caller that waits for leave to
 * send (`Expect: 100-continue`) gets it only where the announced length is within the bound.
 * @param request - The caller's request.
 * @param response - Its response.
 * @param maximumBytes - Bodies above this are refused.
 */
export async function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
): Promise<Result<Buffer, RequestError>> {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    if (announcedBytes > maximumBytes) {
        return Err(createTooLargeError(maximumBytes));
    }
    if (continuePattern.test(request.headers.expect ?? "")) {
        response.writeContinue();
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        // The stream outlives the loop: to destroy it would cut the connection off before the refusal is sent.
        for await (const chunk of request.iterator({ destroyOnReturn: false })) {
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
