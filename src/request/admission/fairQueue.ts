import { Heap } from "heap-js";
import { CustomerQueue } from "./customerQueue.ts";
import type { QueueEntry } from "./queueEntry.ts";

/** An item to add to a {@link FairQueue}. */
interface EnqueueOptions<T> {
    item: T;
    customer: string;
    /** Share of the customer under contention, relative to the others. */
    weight: number;
    /** Expected cost, in tokens. */
    cost: number;
}

/** Burst allowance: requests of mean cost that a customer may start beyond its fair share. */
const burstRequests = 8;

/** Weight of the newest entry in the moving average of the cost. */
const meanCostSmoothingFactor = 1 / 64;

/** Minimum number of customers at which idle ones are removed. */
const minimumSweepSize = 64;

/**
 * Weighted fair queue by customer: start-time fair queueing (Goyal, Vin and Cheng, 1996). Each customer
 * has a first-in-first-out queue; the customer with the lowest start tag goes next, and dequeuing an entry advances
 * its tag by cost / weight. A customer that was idle starts at the current virtual time: it neither accumulates credit
 * nor is charged for capacity that it used without contention. Tags belong to customers and not to entries, so a removed
 * entry costs its customer nothing. Enqueuing and dequeuing take O(log n) for n waiting customers.
 */
export class FairQueue<T> {
    private readonly customers = new Map<string, CustomerQueue<T>>();
    private readonly heap = new Heap<CustomerQueue<T>>(compareStartTags);
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

    /** Total cost of the waiting entries, in tokens. */
    get waitingCost(): number {
        return this.totalCost;
    }

    /** Gets the number of waiting entries of a customer. */
    getCustomerCount(customer: string): number {
        return this.customers.get(customer)?.waitingCount ?? 0;
    }

    /** Adds an entry. Does not limit the length of the queue; the caller has to. */
    enqueue(options: EnqueueOptions<T>): QueueEntry<T> {
        const queue = this.getOrAddCustomer(options.customer, options.weight);
        const entry = { item: options.item, customer: options.customer, cost: options.cost, isWaiting: true };
        queue.push(entry);
        this.totalCount++;
        this.totalCost += entry.cost;
        this.meanCost += (entry.cost - this.meanCost) * (this.meanCost === 0 ? 1 : meanCostSmoothingFactor);
        if (!queue.isInHeap) {
            queue.finishTag = Math.max(queue.finishTag, this.virtualTime);
            this.addToHeap(queue);
        }
        return entry;
    }

    /** Removes and gets the next entry; undefined if the queue is empty. */
    dequeue(): QueueEntry<T> | undefined {
        const queue = this.getNextCustomer();
        const entry = queue?.peek();
        if (queue === undefined || entry === undefined) {
            return undefined;
        }
        this.heap.pop();
        queue.isInHeap = false;
        this.takeEntry(queue, entry);
        return entry;
    }

    /** Checks if the next customer has already used its fair share and its burst allowance. */
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
        this.removeEntry(queue, entry);
        return true;
    }

    /**
     * Charges a customer for the difference between the actual and the expected cost of an entry.
     * @param customer - Name of the customer.
     * @param weight - Weight of the customer.
     * @param difference - Actual minus expected cost, in tokens; may be negative.
     */
    charge(customer: string, weight: number, difference: number): void {
        const queue = this.getOrAddCustomer(customer, weight);
        queue.finishTag = Math.max(queue.finishTag, this.virtualTime) + difference / queue.weight;
    }

    /**
     * Estimates whether entries of more than a given cost, in tokens, would go before a new entry of a customer.
     * Takes O(n) for n waiting customers.
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
     * Gets the newest entry of the customer with the highest waiting cost relative to its weight, if that is higher than the
     * given customer's would be with a new entry. Takes O(n) for n waiting customers.
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

    /** Gets the next customer, after dropping customers without waiting entries from the top of the heap. */
    private getNextCustomer(): CustomerQueue<T> | undefined {
        for (let queue = this.heap.peek(); queue !== undefined; queue = this.heap.peek()) {
            if (queue.waitingCount > 0) {
                return queue;
            }
            this.heap.pop();
            queue.isInHeap = false;
        }
        return undefined;
    }

    private getStartTag(finishTag: number, weight: number): number {
        return Math.max(this.virtualTime, finishTag - burstRequests * this.meanCost / weight);
    }

    /** Gets the start tag that a new entry of the customer would have after its waiting entries. */
    private getNextStartTag(queue: CustomerQueue<T> | undefined): number {
        if (queue === undefined) {
            return this.virtualTime;
        }
        const finishTag = Math.max(queue.finishTag, this.virtualTime) + queue.waitingCost / queue.weight;
        return this.getStartTag(finishTag, queue.weight);
    }

    private takeEntry(queue: CustomerQueue<T>, entry: QueueEntry<T>): void {
        this.virtualTime = queue.startTag;
        // Not computed from the start tag, since the finish tag includes charges made while the customer waited.
        queue.finishTag += entry.cost / queue.weight;
        this.removeEntry(queue, entry);
        if (queue.waitingCount > 0) {
            this.addToHeap(queue);
        }
    }

    private addToHeap(queue: CustomerQueue<T>): void {
        queue.startTag = this.getStartTag(queue.finishTag, queue.weight);
        queue.sequence = this.nextSequence++;
        queue.isInHeap = true;
        this.heap.push(queue);
    }

    private removeEntry(queue: CustomerQueue<T>, entry: QueueEntry<T>): void {
        queue.remove(entry);
        this.totalCount--;
        this.totalCost = this.totalCount === 0 ? 0 : this.totalCost - entry.cost;
    }

    private getOrAddCustomer(customer: string, weight: number): CustomerQueue<T> {
        let queue = this.customers.get(customer);
        if (queue === undefined) {
            this.removeIdleCustomers();
            queue = CustomerQueue.create<T>(customer, weight);
            this.customers.set(customer, queue);
        }
        queue.weight = weight;
        return queue;
    }

    /** Removes customers whose tags no longer matter, once the number of customers has doubled. */
    private removeIdleCustomers(): void {
        if (this.customers.size < this.sweepSize) {
            return;
        }
        for (const [customer, queue] of this.customers) {
            if (!queue.isInHeap && queue.finishTag <= this.virtualTime) {
                this.customers.delete(customer);
            }
        }
        this.sweepSize = Math.max(minimumSweepSize, 2 * this.customers.size);
    }
}

function compareStartTags<T>(a: CustomerQueue<T>, b: CustomerQueue<T>): number {
    return a.startTag - b.startTag || a.sequence - b.sequence;
}
