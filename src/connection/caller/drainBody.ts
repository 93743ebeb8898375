import type { IncomingMessage } from "node:http";

/** Size of the rest of a body that is discarded at most. */
export const maximumDrainBytes = 4 * 1024 * 1024;
const maximumDrainMilliseconds = 5_000;
/** A caller that has sent nothing for this time has read the response, or waits for something else. */
const maximumIdleMilliseconds = 1_000;

/**
 * Reads and discards the rest of the body of a refused request, up to limits of time and size. Closing a connection with
 * unread bytes resets it, and the caller could lose the response.
 * @param request - The caller's request.
 */
export function drainBody(request: IncomingMessage): Promise<void> {
    return new Promise(resolve => {
        let length = 0;
        const finish = () => {
            clearTimeout(timer);
            clearTimeout(idleTimer);
            request.off("data", onData);
            request.pause();
            resolve();
        };
        const onData = (chunk: Buffer) => {
            idleTimer.refresh();
            length += chunk.length;
            if (length > maximumDrainBytes) {
                finish();
            }
        };
        const timer = setTimeout(finish, maximumDrainMilliseconds);
        const idleTimer = setTimeout(finish, maximumIdleMilliseconds);
        request.once("end", finish);
        request.once("close", finish);
        request.on("error", () => undefined);
        request.on("data", onData);
        request.resume();
    });
}
