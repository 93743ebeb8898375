/** A request that asks to be started. */
export interface StartRequest<Place> {
    /** Rank; 0 goes first. */
    rank: number;
    customer: string | undefined;
    /** What it is expected to take: tokens of its prompt and its answer. */
    cost: number;
    /** Monotonic time in milliseconds until which it can be started and still keep its objective. */
    timelyUntil: number;
    /** Monotonic time in milliseconds until which it may wait at all. */
    waitsUntil: number;
    /** Longest time after which its caller comes back, in milliseconds. */
    longestReturnMilliseconds: number;
    /** Finds and takes what it needs to run; undefined where there is no room. */
    takePlace(): Place | undefined;
    /** Whether there would be a place for it if nothing else ran. */
    isServable(): boolean;
    /**
     * Gets when its caller should come back, in milliseconds from now, where only limits that endpoints name hold it up: to wait for
     * a place brings nothing then. Undefined otherwise.
     */
    getLimitReturn(): number | undefined;
}
