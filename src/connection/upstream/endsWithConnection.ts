import type { IncomingHttpHeaders } from "node:http";

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Checks if a response has neither a length nor chunks, so that the end of its connection is its end. */
export function endsWithConnection(status: number, headers: IncomingHttpHeaders): boolean {
    return headers["content-length"] === undefined && headers["transfer-encoding"] === undefined
        && !bodilessStatuses.has(status);
}
