/** What decides if a connection is closed to make room for another one. */
interface ConnectionUse {
    /** Monotonic time at which it was opened, in milliseconds. */
    readonly openedAt: number;
    /** Checks if no request on it is unanswered. */
    isIdle(): boolean;
    /** Gets the time since when it has been idle after a request, in milliseconds; undefined before its first request. */
    getIdleStart(): number | undefined;
}

/**
 * Chooses the connection that is closed when a caller opens another one than the process can hold. Connections on which no request was
 * received go first, the oldest of them before the others, since the callers of new ones are about to send. The next are those that have
 * been idle for the longest time.
 * @param connections - The open connections.
 * @param newest - The new connection, which is chosen only if all others have unanswered requests.
 */
export function chooseConnectionToClose<T extends ConnectionUse>(connections: Iterable<T>, newest: T): T {
    let oldestUnused: T | undefined;
    let longestIdle: T | undefined;
    for (const connection of connections) {
        if (connection === newest || !connection.isIdle()) {
            continue;
        }
        const idleStart = connection.getIdleStart();
        if (idleStart === undefined) {
            oldestUnused = chooseEarlier(oldestUnused, connection, ({ openedAt }) => openedAt);
        }
        else {
            longestIdle = chooseEarlier(longestIdle, connection, each => each.getIdleStart() ?? Infinity);
        }
    }
    return oldestUnused ?? longestIdle ?? newest;
}

function chooseEarlier<T>(first: T | undefined, second: T, getTime: (each: T) => number): T {
    return first === undefined || getTime(second) < getTime(first) ? second : first;
}
