import type { IncomingMessage } from "node:http";

const maximumDrainedBytes = 4 * 1024 * 1024;
const maximumDrainMilliseconds = 1_000;

/**
 * Reads and drops the rest of a refused request's body, for a bounded time and number of bytes. A connection that is
 * closed with unread bytes is reset, and the caller may lose the answer that tells it why.
 * @param request - The caller's request.
 */
export function drainBody(request: IncomingMessage): Promise<void> {
    return new Promise(resolve => {
        let length = 0;
        const finish = () => {
            clearTimeout(timer);
            request.off("data", count);
            request.pause();
            resolve();
        };
        const count = (chunk: Buffer) => {
            length += chunk.length;
            if (length > maximumDrainedBytes) {
                finish();
            }
        };
        const timer = setTimeout(finish, maximumDrainMilliseconds);
        request.once("end", finish);
        request.once("close", finish);
        request.on("error", () => undefined);
        request.on("data", count);
        request.resume();
    });
}
