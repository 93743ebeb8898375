import type { CallerConnection } from "./callerConnection.ts";
import { createMemoryError } from "./createMemoryError.ts";
import { UnansweredReason } from "./unansweredReason.ts";

/**
 * Lets go of what is held for a connection. A request whose body is incomplete is refused, since it has not run. Otherwise the caller
 * doesn't read its answers, or sends much more than it reads: the connection is closed.
 */
export function releaseConnection(connection: CallerConnection): void {
    const incomplete = connection.findIncomplete();
    if (incomplete?.onBroken !== undefined && incomplete.bodyBytes > 0) {
        incomplete.bodyBytes = 0;
        incomplete.onBroken(createMemoryError());
        return;
    }
    connection.reason = UnansweredReason.MemoryLimit;
    connection.socket.destroy();
}
