import type { IncomingMessage } from "node:http";

const maximumDrainBytes = 4 * 1024 * 1024;
const maximumDrainMilliseconds = 1_000;

/**
 * Reads and discards the rest of the body of a refused request, up to a time limit and a size limit. Closing a
 * connection with unread bytes resets it, and the caller could lose the response.
 * @param request - The caller's request.
 */
export function drainBody(request: IncomingMessage): Promise<void> {
    return new Promise(resolve => {
        let length = 0;
        const finish = () => {
            clearTimeout(timer);
            request.off("data", onData);
            request.pause();
            resolve();
        };
        const onData = (chunk: Buffer) => {
            length += chunk.length;
            if (length > maximumDrainBytes) {
                finish();
            }
        };
        const timer = setTimeout(finish, maximumDrainMilliseconds);
        request.once("end", finish);
        request.once("close", finish);
        request.on("error", () => undefined);
        request.on("data", onData);
        request.resume();
    });
}
