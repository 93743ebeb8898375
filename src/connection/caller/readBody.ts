import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";
import { BodyBuffer } from "./bodyBuffer.ts";

/** How the body of a request is read. */
interface BodyOptions {
    /** Maximum size of the body. Larger bodies are refused. */
    maximumBytes: number;
    /** Registers a callback for when the rest of the request can't be received or kept. */
    onBroken(callback: (error: RequestError) => void): void;
    /** Called when more memory is held for the body, in bytes. */
    onHeld(bytes: number): void;
}

const continuePattern = /^100-continue$/i;

/**
 * Reads the body of a request into memory. Reading stops when the body exceeds the maximum size. A caller that waits
 * for permission to send the body (`Expect: 100-continue`) only gets it if the announced length is allowed.
 * @param request - The caller's request.
 * @param response - Response to the request.
 * @param options - How the body is read.
 */
export function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    { maximumBytes, onBroken, onHeld }: BodyOptions,
): Promise<Result<Buffer, RequestError>> {
    const announcedBytes = Number(request.headers["content-length"] ?? 0);
    if (announcedBytes > maximumBytes) {
        return Promise.resolve(Err(createTooLargeError(maximumBytes)));
    }
    if (continuePattern.test(request.headers.expect ?? "")) {
        response.writeContinue();
    }
    return new Promise(resolve => {
        const body = BodyBuffer.create(announcedBytes);
        const finish = (result: Result<Buffer, RequestError>) => {
            request.off("data", onData);
            request.off("end", onEnd);
            body.release();
            resolve(result);
        };
        // The request is not destroyed, because that would close the connection before a refusal is sent.
        const stop = (error: RequestError) => {
            request.pause();
            finish(Err(error));
        };
        const onData = (chunk: Buffer) => {
            if (body.getLength() + chunk.length > maximumBytes) {
                stop(createTooLargeError(maximumBytes));
                return;
            }
            const heldBefore = body.getHeldBytes();
            body.append(chunk);
            onHeld(body.getHeldBytes() - heldBefore);
        };
        const onEnd = () => finish(Ok(body.toBuffer()));
        onBroken(stop);
        request.on("error", () => undefined);
        request.once("close", () => finish(Err(RequestError.cancelled())));
        request.once("end", onEnd);
        request.on("data", onData);
    });
}

function createTooLargeError(maximumBytes: number): RequestError {
    const message = `The body is larger than ${maximumBytes} bytes. Send a smaller one.`;
    return RequestError.invalid(413, "body_too_large", message);
}
