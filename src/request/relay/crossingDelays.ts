import { forget } from "./forget.ts";
import { formatCrossing } from "./formatCrossing.ts";
import { listCrossings } from "./listCrossings.ts";

/** What was seen of the crossings from one data centre to another. */
interface CrossingRecord {
    /** Moving average of the time that a crossing adds to a first event, in milliseconds. */
    extraMilliseconds: number;
    updatedAt: number;
}

/** Weight of the newest stream in the averages. */
const newestWeight = 0.25;
/** A delay halves in this time without new streams, so that a slow way is tried again. */
const forgettingMilliseconds = 4_000;

/**
 * How much later first events come over each way between data centres than without a crossing. A way that has become slow
 * is found so, whatever the cause: the engines' figures and the use of the pipes know nothing of it.
 */
export class CrossingDelays {
    private readonly records = new Map<string, CrossingRecord>();
    /** Moving average of the time to the first event without a crossing, in milliseconds. */
    private withoutCrossing: number | undefined;

    private constructor() {}

    /** Creates a record in which no crossing adds anything. */
    static create(): CrossingDelays {
        return new CrossingDelays();
    }

    /**
     * Notes how long a first event took, or has taken so far where it hasn't come.
     * @param dataCentres - Data centres of the chain's stages, in order.
     * @param milliseconds - Time since the request was sent.
     * @param now - Monotonic time in milliseconds.
     */
    note(dataCentres: readonly string[], milliseconds: number, now: number): void {
        const ways = listCrossings(dataCentres).map(({ from, to }) => formatCrossing(from, to));
        if (ways.length === 0) {
            const known = this.withoutCrossing ?? milliseconds;
            this.withoutCrossing = known + newestWeight * (milliseconds - known);
            return;
        }
        const extra = Math.max(0, milliseconds - (this.withoutCrossing ?? milliseconds)) / ways.length;
        for (const way of ways) {
            const known = this.getExtraOfWay(way, now);
            this.records.set(way, { extraMilliseconds: known + newestWeight * (extra - known), updatedAt: now });
        }
    }

    /** Gets the time that a crossing adds to a first event, in milliseconds. */
    getExtra(from: string, to: string, now: number): number {
        return this.getExtraOfWay(formatCrossing(from, to), now);
    }

    private getExtraOfWay(way: string, now: number): number {
        const record = this.records.get(way);
        if (record === undefined) {
            return 0;
        }
        return forget(record.extraMilliseconds, now - record.updatedAt, forgettingMilliseconds);
    }
}
