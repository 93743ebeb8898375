import type { QueueEntry } from "./queueEntry.ts";

/** Dead entries at the head that are kept before the array is cut. */
const compactionLength = 32;

/** The waiting entries of one customer, first in first out, with its place in virtual time. */
export class CustomerQueue<T> {
    /** Virtual time at which the customer's next entry starts. It never changes while the customer is listed. */
    startTag = 0;
    /** Virtual time at which the work taken so far ends. */
    finishTag = 0;
    weight: number;
    /** Order among customers of the same start tag. */
    sequence = 0;
    /** Whether the heap of the fair queue lists the customer. */
    isListed = false;
    /** Cost of the waiting entries. */
    waitingCost = 0;
    waitingCount = 0;
    readonly customer: string;
    private entries: QueueEntry<T>[] = [];
    private head = 0;

    private constructor(customer: string, weight: number) {
        this.customer = customer;
        this.weight = weight;
    }

    static create<T>(customer: string, weight: number): CustomerQueue<T> {
        return new CustomerQueue<T>(customer, weight);
    }

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
        const isMostlyDead = this.entries.length > compactionLength && this.entries.length > 2 * this.waitingCount;
        if (this.waitingCount === 0 || isMostlyDead) {
            this.entries = this.entries.filter(each => each.isWaiting);
            this.head = 0;
        }
    }
}
