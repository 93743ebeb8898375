import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";

const continuePattern = /^100-continue$/i;

/**
 * Reads the body of a request into memory. Reading stops when the body exceeds the maximum size. A caller that waits
 * for permission to send the body (`Expect: 100-continue`) only gets it if the announced length is allowed.
 * @param request - The caller's request.
 * @param response - Response to the request.
 * @param maximumBytes - Maximum size of the body. Larger bodies are refused.
 * @param onBroken - Registers a callback for when the rest of the request can't be received.
 */
export function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
    onBroken: (callback: (error: RequestError) => void) => void,
): Promise<Result<Buffer, RequestError>> {
    return new Promise(resolve => {
        onBroken(error => resolve(Err(error)));
        void readToEnd(request, response, maximumBytes).then(resolve);
    });
}

async function readToEnd(
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
        // The stream is not destroyed, because that would close the connection before the refusal is sent.
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
    const message = `The body is larger than ${maximumBytes} bytes. Send a smaller one.`;
    return RequestError.invalid(413, "body_too_large", message);
}
