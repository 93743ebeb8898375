import type { WaitingRequest } from "./waitingRequest.ts";

/**
 * Number of requests that may overtake a waiting one. A large request needs more capacity at once than a small one, so a
 * steady flow of small requests would starve it. At this number, nothing behind it is started before it.
 */
const maximumBypassCount = 4;

/** Waiting requests in the order of their latest start on time, then of their arrival, with their total cost. */
export class WaitingList<Reservation> {
    private readonly entries: WaitingRequest<Reservation>[] = [];
    private cost = 0;
    /** Number of requests that nothing may overtake any more. */
    private blockingCount = 0;

    private constructor() {}

    /** Creates an empty list. */
    static create<Reservation>(): WaitingList<Reservation> {
        return new WaitingList();
    }

    /** Checks if a request has been overtaken so often that nothing behind it may start. */
    static isBlocking({ bypassCount }: WaitingRequest<unknown>): boolean {
        return bypassCount >= maximumBypassCount;
    }

    /** Gets the requests in order. */
    getEntries(): readonly WaitingRequest<Reservation>[] {
        return this.entries;
    }

    /** Adds a request at its place. */
    add(entry: WaitingRequest<Reservation>): void {
        this.entries.splice(this.getIndex(entry.request.latestOnTimeStart, entry.sequence), 0, entry);
        this.cost += entry.request.cost;
        this.blockingCount += WaitingList.isBlocking(entry) ? 1 : 0;
    }

    /** Removes a request that is in the list. */
    remove(entry: WaitingRequest<Reservation>): void {
        this.entries.splice(this.getIndex(entry.request.latestOnTimeStart, entry.sequence), 1);
        this.cost = this.entries.length === 0 ? 0 : this.cost - entry.request.cost;
        this.blockingCount -= WaitingList.isBlocking(entry) ? 1 : 0;
    }

    /** Counts that a request behind a request of this list was started. */
    addBypass(entry: WaitingRequest<Reservation>): void {
        entry.bypassCount += 1;
        this.blockingCount += entry.bypassCount === maximumBypassCount ? 1 : 0;
    }

    /** Gets the number of requests whose latest start on time is not after a time. */
    countUntil(latestOnTimeStart: number): number {
        const last = this.entries.at(-1);
        return last !== undefined && last.request.latestOnTimeStart <= latestOnTimeStart
            ? this.entries.length
            : this.getIndex(latestOnTimeStart, Infinity);
    }

    /** Gets the total cost of the first requests of the list. */
    getCost(count: number): number {
        if (count === this.entries.length) {
            return this.cost;
        }
        let cost = 0;
        for (let index = 0; index < count; index++) {
            cost += this.entries[index]!.request.cost;
        }
        return cost;
    }

    /** Checks if nothing may overtake one of the first requests of the list. One that is held blocks no others, whatever its count. */
    isBlocked(count: number): boolean {
        if (this.blockingCount === 0) {
            return false;
        }
        for (let index = 0; index < count; index++) {
            const entry = this.entries[index]!;
            if (WaitingList.isBlocking(entry) && entry.request.isHeld?.() !== true) {
                return true;
            }
        }
        return false;
    }

    /** Gets the index of the first request that is not before the given time and arrival. */
    private getIndex(latestOnTimeStart: number, sequence: number): number {
        let start = 0;
        let end = this.entries.length;
        while (start < end) {
            const middle = (start + end) >>> 1;
            const { request, sequence: middleSequence } = this.entries[middle]!;
            const at = request.latestOnTimeStart;
            if (at < latestOnTimeStart || at === latestOnTimeStart && middleSequence < sequence) {
                start = middle + 1;
            }
            else {
                end = middle;
            }
        }
        return start;
    }
}
