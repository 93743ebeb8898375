import type { IncomingMessage } from "node:http";
import { maximumDrainBytes } from "./drainBody.ts";

/**
 * Checks if the rest of a request's body may come in full and be discarded, so that its connection can be used on. A caller that waits for
 * permission to send the body (`Expect`) may never send it.
 * @param request - The caller's request.
 */
export function canDiscardBody({ headers }: Pick<IncomingMessage, "headers">): boolean {
    return headers.expect === undefined && Number(headers["content-length"] ?? 0) <= maximumDrainBytes;
}
