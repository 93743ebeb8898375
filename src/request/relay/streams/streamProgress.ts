import { EventVerdict } from "./eventVerdict.ts";

/** Events that a stream may have beside one for each token of its answer, such as one that ends it. */
const eventsWithoutTokens = 8;

/** Tracks the events of a stream that were forwarded to the caller, and their timing. */
export class StreamProgress {
    private readonly maximumCount: number;
    private lastId: number;
    private count = 0;
    /** Whether each id so far was one higher than the previous id, so that a larger step indicates a missing event. */
    private isConsecutive = true;
    private firstAt: number | undefined;
    private lastAt = 0;
    private longestGap = 0;

    private constructor(lastId: number, maximumTokens: number) {
        this.lastId = lastId;
        this.maximumCount = maximumTokens > 0 ? maximumTokens + eventsWithoutTokens : Infinity;
    }

    /**
     * Creates the progress of a stream.
     * @param lastId - Id of the last event that the caller has received; 0 if none.
     * @param maximumTokens - Maximum number of tokens of the answer, each event of which has one at least; 0 if the request names none.
     */
    static create(lastId: number, maximumTokens: number): StreamProgress {
        return new StreamProgress(lastId, maximumTokens);
    }

    /**
     * Decides whether to forward an event, and records it if so. The ids of forwarded events increase strictly, also across attempts.
     * @param id - Id of the event; undefined if it has none, in which case it is always forwarded.
     * @param now - Monotonic time in milliseconds.
     */
    accept(id: number | undefined, now: number): EventVerdict {
        if (id === undefined) {
            return EventVerdict.Pass;
        }
        if (id <= this.lastId) {
            return EventVerdict.Repeat;
        }
        const isNext = id === this.lastId + 1;
        if (!isNext && this.isConsecutive && this.count > 1) {
            return EventVerdict.Gap;
        }
        if (this.count >= this.maximumCount) {
            return EventVerdict.Excess;
        }
        this.isConsecutive &&= isNext;
        this.recordTime(now);
        this.lastId = id;
        this.count += 1;
        return EventVerdict.Pass;
    }

    /** Gets the id of the last event that the caller has received; 0 if none. */
    getLastId(): number {
        return this.lastId;
    }

    /** Gets the number of forwarded events that have an id. */
    getCount(): number {
        return this.count;
    }

    /** Gets the monotonic time of the first forwarded event, in milliseconds; undefined if there is none. */
    getFirstTime(): number | undefined {
        return this.firstAt;
    }

    /** Gets the longest time between two forwarded events, in milliseconds. */
    getLongestGap(): number {
        return this.longestGap;
    }

    private recordTime(now: number): void {
        if (this.firstAt === undefined) {
            this.firstAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastAt);
        }
        this.lastAt = now;
    }
}
