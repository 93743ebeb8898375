/** Longer than a burst of connections takes at a node that is on time, and well below the second after which callers give up. */
const maximumQueueMilliseconds = 300;

/**
 * Decides whether a node closes new connections before it reads from them, so that their callers try another node at once. The queue of
 * connections that wait to be accepted is not visible, and the event loop need not be late while it grows. But at most one of them is
 * accepted in each turn of the event loop, so the queue is empty exactly when a turn accepts none.
 *
 * Load: the load balancer hands most new connections of a data centre to one node.
 */
export class NewConnectionDecider {
    /** Monotonic time in milliseconds of the first of the turns in succession that accepted a connection; undefined if the last did not. */
    private queuedSince: number | undefined;
    private hasAccepted = false;

    private constructor() {}

    /** Creates a decider for a node without connections that wait. */
    static create(): NewConnectionDecider {
        return new NewConnectionDecider();
    }

    /** Records that a connection was accepted in this turn of the event loop. */
    noteConnection(now: number): void {
        this.queuedSince ??= now;
        this.hasAccepted = true;
    }

    /** Records the end of a turn. Returns whether connections may still wait, so that the end of the next turn matters too. */
    noteTurnEnd(): boolean {
        if (!this.hasAccepted) {
            this.queuedSince = undefined;
        }
        this.hasAccepted = false;
        return this.queuedSince !== undefined;
    }

    /** Gets for how long connections have been waiting without a break, in milliseconds. */
    getQueueTime(now: number): number {
        return this.queuedSince === undefined ? 0 : now - this.queuedSince;
    }

    /**
     * Decides whether the next connection is closed before anything is read from it.
     * @param now - Monotonic time in milliseconds.
     * @param canPeersTakeThem - Checks if other nodes of the data centre have room.
     */
    closesNext(now: number, canPeersTakeThem: () => boolean): boolean {
        return this.getQueueTime(now) >= maximumQueueMilliseconds && canPeersTakeThem();
    }
}
