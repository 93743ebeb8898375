import { EventVerdict } from "./eventVerdict.ts";
/** What the caller has of a stream: its last event, and how the events came. */
export class StreamProgress {
    private lastId: number;
    private count = 0;
    /** Whether every id so far was one higher than that before it, so that a higher one shows a missing event. */
    private isDense = true;
    private firstAt: number | undefined;
    private lastAt = 0;
    private longestGap = 0;

    private constructor(lastId: number) {
        this.lastId = lastId;
    }

    /**
     * Creates the progress of a stream.
     * @param lastId - Id of the last event that the caller has; 0 where it has none.
     */
    static create(lastId: number): StreamProgress {
        return new StreamProgress(lastId);
    }

    /**
     * Decides about an event, and notes it where it goes on. Ids only rise, whatever the runs bring.
     * @param id - Its id; undefined where it has none, which lets it pass.
     * @param now - Monotonic time in milliseconds.
     */
    take(id: number | undefined, now: number): EventVerdict {
        if (id === undefined) {
            return EventVerdict.Pass;
        }
        if (id <= this.lastId) {
            return EventVerdict.Repeat;
        }
        const isNext = id === this.lastId + 1;
        if (!isNext && this.isDense && this.count > 1) {
            return EventVerdict.Gap;
        }
        this.isDense &&= isNext;
        this.noteTime(now);
        this.lastId = id;
        this.count += 1;
        return EventVerdict.Pass;
    }

    /** Gets the id of the last event that the caller has; 0 where it has none. */
    getLastId(): number {
        return this.lastId;
    }

    /** Gets the number of events that went on. */
    getCount(): number {
        return this.count;
    }

    /** Gets the monotonic time of the first event, in milliseconds. */
    getFirstTime(): number | undefined {
        return this.firstAt;
    }

    /** Gets the longest time between two events, in milliseconds. */
    getLongestGap(): number {
        return this.longestGap;
    }

    private noteTime(now: number): void {
        if (this.firstAt === undefined) {
            this.firstAt = now;
        }
        else {
            this.longestGap = Math.max(this.longestGap, now - this.lastAt);
        }
        this.lastAt = now;
    }
}
