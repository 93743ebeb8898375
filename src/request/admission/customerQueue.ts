import type { QueueEntry } from "./queueEntry.ts";

/** Entries up to which the array keeps those that no longer wait. */
const compactionLength = 32;

/** The waiting entries of one customer, first in first out, with its place in virtual time. */
export class CustomerQueue<T> {
    /** Virtual time at which the customer's next entry starts. It never changes while the customer is listed. */
    startTag = 0;
    /** Virtual time at which the work taken so far ends. */
    finishTag = 0;
    /** Share of the customer under contention, relative to the others. */
    weight: number;
    /** Order among customers of the same start tag. */
    sequence = 0;
    /** Whether the heap of the fair queue lists the customer. */
    isListed = false;
    /** Cost of the waiting entries, in tokens. */
    waitingCost = 0;
    /** Number of waiting entries. */
    waitingCount = 0;
    readonly customer: string;
    private entries: QueueEntry<T>[] = [];
    private head = 0;

    private constructor(customer: string, weight: number) {
        this.customer = customer;
        this.weight = weight;
    }

    /**
     * Creates an empty queue at virtual time 0.
     * @param customer - Name of the customer.
     * @param weight - Share of the customer under contention, relative to the others; above 0.
     */
    static create<T>(customer: string, weight: number): CustomerQueue<T> {
        return new CustomerQueue<T>(customer, weight);
    }

    /** Adds an entry behind the waiting ones. */
    push(entry: QueueEntry<T>): void {
        this.entries.push(entry);
        this.waitingCost += entry.cost;
        this.waitingCount++;
    }

    /** Gets the oldest waiting entry without taking it. */
    peek(): QueueEntry<T> | undefined {
        while (this.head < this.entries.length) {
            const entry = this.entries[this.head];
            if (entry?.isWaiting) {
                return entry;
            }
            this.head++;
        }
        return undefined;
    }

    /** Gets the newest waiting entry without taking it. */
    peekNewest(): QueueEntry<T> | undefined {
        while (this.entries.length > this.head) {
            const entry = this.entries[this.entries.length - 1];
            if (entry?.isWaiting) {
                return entry;
            }
            this.entries.pop();
        }
        return undefined;
    }

    /** Takes an entry out of the count; the array drops it later. */
    remove(entry: QueueEntry<T>): void {
        entry.isWaiting = false;
        this.waitingCount--;
        this.waitingCost = this.waitingCount === 0 ? 0 : this.waitingCost - entry.cost;
        const isMostlyDone = this.entries.length > compactionLength && this.entries.length > 2 * this.waitingCount;
        if (this.waitingCount === 0 || isMostlyDone) {
            this.entries = this.entries.filter(each => each.isWaiting);
            this.head = 0;
        }
    }
}
