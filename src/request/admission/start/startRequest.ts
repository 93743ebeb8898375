import type { StartBlock } from "./startBlock.ts";

/** A request that asks to be started. */
export interface StartRequest<Reservation> {
    /** Rank; lower ranks go first. */
    rank: number;
    customer: string | undefined;
    /** Expected cost: tokens of the prompt and of the answer. */
    cost: number;
    /** Latest start that still meets the latency objective, as a monotonic time in milliseconds. */
    latestOnTimeStart: number;
    /** Latest start, on time or late, as a monotonic time in milliseconds. */
    latestStart: number;
    /** Maximum retry delay that its caller follows, in milliseconds. */
    maximumRetryMilliseconds: number;
    /**
     * Gets the class within which requests differ only in their cost and in whether they are on time, as far as capacity for them
     * is concerned. Undefined, or absent, if the request must search for capacity itself.
     */
    getCapacityClass?(): string | undefined;
    /**
     * Checks if it must not start yet, whether there is capacity or not. Others may start before it meanwhile. Absent if it may
     * start at any time.
     */
    isHeld?(): boolean;
    /** Finds and reserves the capacity that it needs to run; undefined if there is not enough. */
    tryReserve(): Reservation | undefined;
    /** Checks if the endpoints could serve it if nothing else were running. */
    isServable(): boolean;
    /**
     * Gets the retry delay in milliseconds if it isn't servable only because endpoints have asked for a pause; undefined
     * otherwise.
     */
    getPauseRetryMilliseconds(): number | undefined;
    /**
     * Gets the retry delay in milliseconds if only the rate limits that endpoints declare keep it from starting, in which case
     * waiting for capacity is useless; undefined otherwise.
     */
    getLimitRetryMilliseconds(): number | undefined;
    /**
     * Gets what is known if only a link between data centres keeps it from starting; undefined, or absent, otherwise. Waiting for memory
     * is useless then.
     */
    getLinkBlock?(): StartBlock | undefined;
}
