/** A request that waits for a chain with room. */
export interface QueuedRelay {
    /** Rank; 0 goes first. */
    priority: number;
    /** Monotonic time in milliseconds at which the request arrived. */
    arrivedAt: number;
    /** Monotonic time in milliseconds until which it waits. */
    waitsUntil: number;
    /** Tries to start the request; false where there is still no room. */
    tryStart(): boolean;
    /** The time is over. */
    giveUp(): void;
}
