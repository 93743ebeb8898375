import type { IncomingMessage } from "node:http";

const largeBytes = 16 * 1024;

/** Checks if the body of a request may be large: it has no announced length, or a large one. */
export function mayHaveLargeBody({ headers }: Pick<IncomingMessage, "headers">): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > largeBytes;
}
