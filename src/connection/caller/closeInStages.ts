import type { Socket } from "node:net";

/** Time for which a connection is read after its last byte was sent, so that the caller can read that too. */
const lingerMilliseconds = 1_000;

/**
 * Closes a connection in stages, as RFC 9112, section 9.6 describes: sends what was written and the end of this side, and discards what
 * the caller sends until it ends its own. Bytes that reach a closed connection reset it, and what the caller has not received yet of its
 * answer would be lost.
 * @param socket - The caller's connection.
 */
export function closeInStages(socket: Socket): void {
    let timer: NodeJS.Timeout | undefined;
    const linger = () => {
        timer ??= setTimeout(() => socket.destroy(), lingerMilliseconds);
    };
    socket.once("close", () => clearTimeout(timer));
    socket.resume();
    if (socket.writableFinished) {
        linger();
        return;
    }
    socket.once("finish", linger);
    socket.end();
}
