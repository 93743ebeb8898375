import type { Socket } from "node:net";
import { closeInStages } from "./closeInStages.ts";
import { createClientError } from "./createClientError.ts";
import { createErrorBody } from "./createErrorBody.ts";

/**
 * Answers bytes that are no request, or a request that was not received in time, and closes the connection.
 * @param code - Code of the error that Node.js raised.
 * @param socket - The caller's connection.
 */
export function sendClientError(code: string | undefined, socket: Socket): void {
    const error = createClientError(code);
    const body = JSON.stringify(createErrorBody(error));
    const head = [
        `HTTP/1.1 ${error.status} ${error.code}`,
        "connection: close",
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
    closeInStages(socket);
}
