import type { Server } from "node:http";
import type { Clock } from "../../process/clock.ts";
import { NewConnectionDecider } from "../../process/overload/newConnectionDecider.ts";

/** How new connections are watched. */
interface NewConnectionOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    /** Checks if other nodes can take the callers of connections that this node closes. */
    canPeersTakeConnections(): boolean;
    /**
     * Called when no connection waits any more.
     * @param queueMilliseconds - For how long connections waited without a break.
     * @param closed - Number of connections that were closed unread.
     */
    onQueueEnd(queueMilliseconds: number, closed: number): void;
}

/** Closes new connections of a server unread while too many wait, as {@link NewConnectionDecider} decides. */
export function watchNewConnections(
    server: Server,
    { clock, canPeersTakeConnections, onQueueEnd }: NewConnectionOptions,
): void {
    const decider = NewConnectionDecider.create();
    const { maxConnections } = server;
    let isWatching = false;
    let closed = 0;
    const handleTurnEnd = () => {
        const now = clock.getMonotonicTime();
        const queueMilliseconds = decider.getQueueTime(now);
        if (decider.noteTurnEnd()) {
            // Node.js closes connections beyond the limit before it creates a socket for them.
            server.maxConnections = decider.closesNext(now, canPeersTakeConnections) ? 0 : maxConnections;
            setImmediate(handleTurnEnd);
            return;
        }
        server.maxConnections = maxConnections;
        isWatching = false;
        onQueueEnd(queueMilliseconds, closed);
        closed = 0;
    };
    const noteConnection = () => {
        decider.noteConnection(clock.getMonotonicTime());
        if (!isWatching) {
            isWatching = true;
            setImmediate(handleTurnEnd);
        }
    };
    server.on("connection", noteConnection);
    server.on("drop", () => {
        closed += 1;
        noteConnection();
    });
}
