import type { IncomingHttpHeaders } from "node:http";

/** Checks if a response has neither a length nor chunks, so that the end of its connection is its end. */
export function endsWithConnection(headers: IncomingHttpHeaders): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
}
