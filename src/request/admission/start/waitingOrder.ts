import type { StartRequest } from "./startRequest.ts";
import { WaitingList } from "./waitingList.ts";
import type { WaitingRequest } from "./waitingRequest.ts";

/** Gets a number that orders customers by the work that they were granted recently. */
type GetGrantedOrder = (customer: string | undefined) => number;

/** The waiting requests of one rank and customer. */
interface CustomerRequests<Reservation> {
    rank: number;
    customer: string | undefined;
    onTime: WaitingList<Reservation>;
    late: WaitingList<Reservation>;
}

/** The first requests of a list. */
export interface ListPart<Reservation> {
    list: WaitingList<Reservation>;
    count: number;
}

/**
 * Keeps waiting requests in order: by rank, then requests that can meet their objective first, then by work granted to the
 * customer, then by time.
 *
 * It is designed for thousands of arrivals while a thousand requests wait. The requests of each rank and customer are kept in
 * order. Customers are compared only when the order is asked for, since what they were granted changes with each start.
 *
 * Times are monotonic, in milliseconds.
 */
export class WaitingOrder<Reservation> {
    private readonly groups = new Map<string, CustomerRequests<Reservation>>();
    private readonly entries = new Map<StartRequest<Reservation>, WaitingRequest<Reservation>>();
    private readonly getGrantedOrder: GetGrantedOrder;
    private nextSequence = 0;
    /** No request becomes late at or before this time. */
    private onTimeUntil = Infinity;

    private constructor(getGrantedOrder: GetGrantedOrder) {
        this.getGrantedOrder = getGrantedOrder;
    }

    /**
     * Creates an empty order.
     * @param getGrantedOrder - Gets a number that orders customers by the work that they were granted recently.
     */
    static create<Reservation>(getGrantedOrder: GetGrantedOrder): WaitingOrder<Reservation> {
        return new WaitingOrder(getGrantedOrder);
    }

    /** Gets the number of requests. */
    getLength(): number {
        return this.entries.size;
    }

    /** Adds a request that begins to wait. */
    add(request: StartRequest<Reservation>, now: number): void {
        const isLate = now > request.latestOnTimeStart;
        const entry = { request, sequence: this.nextSequence, bypassCount: 0, isLate };
        this.nextSequence += 1;
        this.entries.set(request, entry);
        getList(this.getOrAddGroup(request), entry).add(entry);
        if (!isLate) {
            this.onTimeUntil = Math.min(this.onTimeUntil, request.latestOnTimeStart);
        }
    }

    /** Removes a request. Does nothing if it doesn't wait. */
    remove(request: StartRequest<Reservation>): void {
        const entry = this.entries.get(request);
        if (entry === undefined) {
            return;
        }
        this.entries.delete(request);
        const key = getGroupKey(request);
        const group = this.groups.get(key)!;
        getList(group, entry).remove(entry);
        if (group.onTime.getEntries().length === 0 && group.late.getEntries().length === 0) {
            this.groups.delete(key);
        }
    }

    /** Counts that a request behind a waiting request was started. */
    addBypass(entry: WaitingRequest<Reservation>): void {
        getList(this.groups.get(getGroupKey(entry.request))!, entry).addBypass(entry);
    }

    /** Gets the requests that are ahead of a request that has arrived, as parts of lists. */
    getAhead(request: StartRequest<Reservation>, now: number): ListPart<Reservation>[] {
        this.moveLate(now);
        const { rank, customer, latestOnTimeStart } = request;
        const isLate = now > latestOnTimeStart;
        const granted = this.getGrantedOrder(customer);
        const ahead: ListPart<Reservation>[] = [];
        for (const group of this.groups.values()) {
            if (group.rank > rank) {
                continue;
            }
            const { onTime, late } = group;
            const isHigherRank = group.rank < rank;
            if (isHigherRank || isLate) {
                ahead.push({ list: onTime, count: onTime.getEntries().length });
            }
            if (isHigherRank) {
                ahead.push({ list: late, count: late.getEntries().length });
                continue;
            }
            const list = isLate ? late : onTime;
            const groupGranted = this.getGrantedOrder(group.customer);
            if (groupGranted < granted) {
                ahead.push({ list, count: list.getEntries().length });
            }
            else if (groupGranted === granted && latestOnTimeStart !== -Infinity) {
                // Retries have no time of their own, so that none of a customer's retries is ahead of another one.
                ahead.push({ list, count: list.countUntil(latestOnTimeStart) });
            }
        }
        return ahead;
    }

    /** Lists all requests in order. */
    listInOrder(now: number): WaitingRequest<Reservation>[] {
        this.moveLate(now);
        const lists: { rank: number; isLate: boolean; granted: number; list: WaitingList<Reservation>; }[] = [];
        for (const { rank, customer, onTime, late } of this.groups.values()) {
            const granted = this.getGrantedOrder(customer);
            lists.push({ rank, isLate: false, granted, list: onTime }, { rank, isLate: true, granted, list: late });
        }
        lists.sort((left, right) =>
            left.rank - right.rank || Number(left.isLate) - Number(right.isLate) || compare(left.granted, right.granted)
        );
        const ordered: WaitingRequest<Reservation>[] = [];
        for (let start = 0; start < lists.length;) {
            const { rank, isLate, granted } = lists[start]!;
            let end = start + 1;
            while (lists[end]?.rank === rank && lists[end]!.isLate === isLate && lists[end]!.granted === granted) {
                end += 1;
            }
            // Customers that were granted equal work, such as none, count as one.
            const equal = lists.slice(start, end).flatMap(({ list }) => list.getEntries());
            ordered.push(...end === start + 1 ? equal : equal.sort(compareTimes));
            start = end;
        }
        return ordered;
    }

    /** Gets all requests, in no order. */
    getAll(): Iterable<WaitingRequest<Reservation>> {
        return this.entries.values();
    }

    /** Moves the requests that can no longer meet their objective behind those that can. */
    private moveLate(now: number): void {
        if (now <= this.onTimeUntil) {
            return;
        }
        this.onTimeUntil = Infinity;
        for (const { onTime, late } of this.groups.values()) {
            let first = onTime.getEntries()[0];
            while (first !== undefined && now > first.request.latestOnTimeStart) {
                onTime.remove(first);
                first.isLate = true;
                late.add(first);
                first = onTime.getEntries()[0];
            }
            this.onTimeUntil = Math.min(this.onTimeUntil, first?.request.latestOnTimeStart ?? Infinity);
        }
    }

    private getOrAddGroup(request: StartRequest<Reservation>): CustomerRequests<Reservation> {
        const key = getGroupKey(request);
        let group = this.groups.get(key);
        if (group === undefined) {
            const { rank, customer } = request;
            group = { rank, customer, onTime: WaitingList.create(), late: WaitingList.create() };
            this.groups.set(key, group);
        }
        return group;
    }
}

function getList<Reservation>(
    { onTime, late }: CustomerRequests<Reservation>,
    { isLate }: WaitingRequest<Reservation>,
): WaitingList<Reservation> {
    return isLate ? late : onTime;
}

function getGroupKey({ rank, customer }: StartRequest<unknown>): string {
    return `${rank} ${customer ?? ""}`;
}

function compareTimes({ request: left, sequence }: WaitingRequest<unknown>, right: WaitingRequest<unknown>): number {
    return compare(left.latestOnTimeStart, right.request.latestOnTimeStart) || sequence - right.sequence;
}

/** Compares numbers of which both may be the same infinity. */
function compare(left: number, right: number): number {
    return left === right ? 0 : left - right;
}
