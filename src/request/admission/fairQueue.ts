import { Heap } from "heap-js";
import { CustomerQueue } from "./customerQueue.ts";
import type { QueueEntry } from "./queueEntry.ts";

/** What is put into a {@link FairQueue}. */
interface EnqueueOptions<T> {
    item: T;
    customer: string;
    /** Share of the customer under contention, relative to the others. */
    weight: number;
    /** Expected work, in tokens. */
    cost: number;
}

/** Requests of mean cost that a customer may take ahead of its share before its next one has to wait its turn. */
const burstRequests = 8;

/** Weight of the newest entry in the mean cost. */
const meanCostGain = 1 / 64;

/** Customers without waiting entries that are remembered before a sweep. */
const minimumSweepSize = 64;

/**
 * Weighted fair queue by customer: start-time fair queueing (Goyal, Vin and Cheng, 1996). Each customer
 * has a first-in-first-out queue; the customer with the lowest start tag goes next, and taking an entry moves
 * its tag on by cost / weight. A customer that comes back from idling starts at the current virtual time: it
 * neither saves up credit nor pays for what it took when nobody waited. The tag belongs to the customer and not to
 * the entry, so that removing an entry costs its customer nothing. Both ends take O(log n) of n waiting customers.
 */
export class FairQueue<T> {
    private readonly customers = new Map<string, CustomerQueue<T>>();
    private readonly heap = new Heap<CustomerQueue<T>>(compareTags);
    private virtualTime = 0;
    private nextSequence = 0;
    private sweepSize = minimumSweepSize;
    private totalCount = 0;
    private totalCost = 0;
    private meanCost = 0;

    private constructor() {}

    /** Creates an empty queue. */
    static create<T>(): FairQueue<T> {
        return new FairQueue<T>();
    }

    /** Number of waiting entries. */
    get waitingCount(): number {
        return this.totalCount;
    }

    /** Cost of all waiting entries, in tokens. */
    get waitingCost(): number {
        return this.totalCost;
    }

    /** Gets the number of entries that wait for one customer. */
    getCustomerCount(customer: string): number {
        return this.customers.get(customer)?.waitingCount ?? 0;
    }

    /** Adds an entry; the caller has checked the bounds. */
    enqueue(options: EnqueueOptions<T>): QueueEntry<T> {
        const queue = this.getOrAddCustomer(options.customer, options.weight);
        const entry = { item: options.item, customer: options.customer, cost: options.cost, isWaiting: true };
        queue.push(entry);
        this.totalCount++;
        this.totalCost += entry.cost;
        this.meanCost += (entry.cost - this.meanCost) * (this.meanCost === 0 ? 1 : meanCostGain);
        if (!queue.isListed) {
            queue.finishTag = Math.max(queue.finishTag, this.virtualTime);
            this.list(queue);
        }
        return entry;
    }

    /** Takes the entry that goes next; undefined where none waits. */
    dequeue(): QueueEntry<T> | undefined {
        const queue = this.getNextCustomer();
        const entry = queue?.peek();
        if (queue === undefined || entry === undefined) {
            return undefined;
        }
        this.heap.pop();
        queue.isListed = false;
        this.take(queue, entry);
        return entry;
    }

    /** Whether the customer that goes next has already had its share and its burst. */
    isNextOverShare(): boolean {
        const queue = this.getNextCustomer();
        return queue !== undefined && queue.startTag > this.virtualTime;
    }

    /**
     * Removes a waiting entry.
     * @returns Whether it was still waiting.
     */
    remove(entry: QueueEntry<T>): boolean {
        const queue = this.customers.get(entry.customer);
        if (!entry.isWaiting || queue === undefined) {
            return false;
        }
        this.forget(queue, entry);
        return true;
    }

    /**
     * Settles an entry whose real cost was another than the expected one.
     * @param customer - Customer whose entry it was.
     * @param weight - Weight of the customer.
     * @param difference - Real cost less expected cost, in tokens.
     */
    charge(customer: string, weight: number, difference: number): void {
        const queue = this.getOrAddCustomer(customer, weight);
        queue.finishTag = Math.max(queue.finishTag, this.virtualTime) + difference / queue.weight;
    }

    /**
     * Estimates whether more than a given cost, in tokens, goes before a new entry of a customer.
     * Takes time in proportion to the number of waiting customers at the most.
     */
    isCostAheadOver(customer: string, maximumCost: number): boolean {
        const own = this.customers.get(customer);
        const startTag = this.getNextStartTag(own);
        let cost = own?.waitingCost ?? 0;
        for (const queue of this.heap.heapArray) {
            if (cost > maximumCost) {
                return true;
            }
            if (queue !== own && queue.startTag <= startTag) {
                cost += Math.min(queue.waitingCost, (startTag - queue.startTag) * queue.weight + this.meanCost);
            }
        }
        return cost > maximumCost;
    }

    /**
     * Finds the newest entry of the customer that holds most of the queue for its weight, where that customer holds
     * more than another would with a new entry. Takes time in proportion to the number of waiting customers.
     */
    getEntryToEvict(options: { customer: string; weight: number; cost: number; }): QueueEntry<T> | undefined {
        const own = this.customers.get(options.customer);
        let largestLoad = ((own?.waitingCost ?? 0) + options.cost) / options.weight;
        let largest: CustomerQueue<T> | undefined;
        for (const queue of this.heap.heapArray) {
            const load = queue.waitingCost / queue.weight;
            if (queue !== own && load > largestLoad) {
                largest = queue;
                largestLoad = load;
            }
        }
        return largest?.peekNewest();
    }

    /** Gets the customer that goes next, and drops those before it whose entries were all removed. */
    private getNextCustomer(): CustomerQueue<T> | undefined {
        for (let queue = this.heap.peek(); queue !== undefined; queue = this.heap.peek()) {
            if (queue.waitingCount > 0) {
                return queue;
            }
            this.heap.pop();
            queue.isListed = false;
        }
        return undefined;
    }

    private getStartTag(finishTag: number, weight: number): number {
        return Math.max(this.virtualTime, finishTag - burstRequests * this.meanCost / weight);
    }

    /** Gets the start tag that a new entry would get behind the customer's waiting ones. */
    private getNextStartTag(queue: CustomerQueue<T> | undefined): number {
        if (queue === undefined) {
            return this.virtualTime;
        }
        const finishTag = Math.max(queue.finishTag, this.virtualTime) + queue.waitingCost / queue.weight;
        return this.getStartTag(finishTag, queue.weight);
    }

    private take(queue: CustomerQueue<T>, entry: QueueEntry<T>): void {
        this.virtualTime = queue.startTag;
        // The finish tag also holds what was charged while the customer waited.
        queue.finishTag += entry.cost / queue.weight;
        this.forget(queue, entry);
        if (queue.waitingCount > 0) {
            this.list(queue);
        }
    }

    private list(queue: CustomerQueue<T>): void {
        queue.startTag = this.getStartTag(queue.finishTag, queue.weight);
        queue.sequence = this.nextSequence++;
        queue.isListed = true;
        this.heap.push(queue);
    }

    private forget(queue: CustomerQueue<T>, entry: QueueEntry<T>): void {
        queue.remove(entry);
        this.totalCount--;
        this.totalCost = this.totalCount === 0 ? 0 : this.totalCost - entry.cost;
    }

    private getOrAddCustomer(customer: string, weight: number): CustomerQueue<T> {
        let queue = this.customers.get(customer);
        if (queue === undefined) {
            this.sweep();
            queue = CustomerQueue.create<T>(customer, weight);
            this.customers.set(customer, queue);
        }
        queue.weight = weight;
        return queue;
    }

    /** Forgets customers whose tags no longer matter, now and then. */
    private sweep(): void {
        if (this.customers.size < this.sweepSize) {
            return;
        }
        for (const [customer, queue] of this.customers) {
            if (!queue.isListed && queue.finishTag <= this.virtualTime) {
                this.customers.delete(customer);
            }
        }
        this.sweepSize = Math.max(minimumSweepSize, 2 * this.customers.size);
    }
}

function compareTags<T>(a: CustomerQueue<T>, b: CustomerQueue<T>): number {
    return a.startTag - b.startTag || a.sequence - b.sequence;
}
