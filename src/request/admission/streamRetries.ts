import type { RetryBudget } from "./retryBudget.ts";

/** Options of {@link StreamRetries}. */
interface StreamRetriesOptions {
    budget: RetryBudget;
    /** Called when a stream that has begun finds no retry. It is called again with each of the stream's searches. */
    onNeed(now: number): void;
}

/** Most retries that are kept for streams that don't need one yet, and the largest fraction of the budget's maximum. */
const maximumKept = 4;
const maximumKeptFraction = 0.5;
/** Time for which a stream that has found no retry counts as waiting. It searches again sooner than that. */
const needMilliseconds = 1_000;

/**
 * Divides the node's retry budget between streams that have begun, which can't be refused any more, and all other requests. Times are
 * monotonic, in milliseconds.
 */
export class StreamRetries {
    private readonly options: StreamRetriesOptions;
    /** The requests that can't be refused any more and may be run again. */
    private readonly begun = new Set<object>();
    /** Those that found no retry, with the time of their last search. */
    private readonly needs = new Map<object, number>();

    private constructor(options: StreamRetriesOptions) {
        this.options = options;
    }

    /** Creates the division of a budget, without streams. */
    static create(options: StreamRetriesOptions): StreamRetries {
        return new StreamRetries(options);
    }

    /**
     * Records that a request can't be refused any more and may be run again: the answer to a stream has begun, or a document request has
     * lost an attempt that may have run.
     */
    noteBegun(request: object): void {
        this.begun.add(request);
    }

    /** Records that a request has ended. */
    noteEnd(request: object): void {
        this.begun.delete(request);
        this.needs.delete(request);
    }

    /**
     * Checks if there is a retry for a request. Records that it waits for one otherwise, if it can't be refused any more.
     * @param request - The request.
     * @param now - Monotonic time in milliseconds.
     * @param left - Number of further retries to leave for other requests.
     */
    isAvailable(request: object, now: number, left = 0): boolean {
        if (this.options.budget.getBalance(now) >= 1 + this.getKeptFrom(request, now) + left) {
            return true;
        }
        if (this.begun.has(request)) {
            this.needs.set(request, now);
            this.options.onNeed(now);
        }
        return false;
    }

    /** Takes a retry for a request, with the arguments of {@link isAvailable}. Returns whether there was one. */
    take(request: object, now: number, left = 0): boolean {
        if (!this.isAvailable(request, now, left)) {
            return false;
        }
        this.needs.delete(request);
        this.options.budget.spend();
        return true;
    }

    /** Gets the number of retries that streams which have begun wait for, beyond those that the node has. */
    getNeed(now: number): number {
        return Math.max(0, this.countWaiting(now) - Math.floor(this.options.budget.getBalance(now)));
    }

    /** Gets the number of retries to leave for streams that have begun. A budget that is full always has one for others while none wait. */
    getKept(now: number): number {
        const maximum = this.options.budget.getMaximumBalance();
        const limit = Math.min(maximumKept, Math.max(1, maximum * maximumKeptFraction), maximum - 1);
        const usual = Math.max(0, Math.min(Math.max(1, this.begun.size), limit));
        return Math.max(usual, this.countWaiting(now));
    }

    /** Gets the number of whole retries that a request leaves for others: a part of one would only hold it up. */
    private getKeptFrom(request: object, now: number): number {
        return this.begun.has(request) ? 0 : Math.floor(this.getKept(now));
    }

    private countWaiting(now: number): number {
        for (const [request, at] of this.needs) {
            if (now - at >= needMilliseconds) {
                this.needs.delete(request);
            }
        }
        return this.needs.size;
    }
}
