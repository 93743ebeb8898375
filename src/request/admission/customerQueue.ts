import type { QueueEntry } from "./queueEntry.ts";

/** Maximum length of the array up to which removed entries are kept while others wait. */
const compactionLength = 32;

/** First-in-first-out queue of one customer, with its tags in virtual time. */
export class CustomerQueue<T> {
    /** Virtual start time of the customer's next entry. It must not change while the queue is in the heap. */
    startTag = 0;
    /** Virtual finish time of the customer's dequeued work. */
    finishTag = 0;
    /** Share of the customer under contention, relative to the others. */
    weight: number;
    /** Tie-breaker between customers with the same start tag. */
    sequence = 0;
    /** Whether the queue is in the heap of the fair queue. */
    isInHeap = false;
    /** Total cost of the waiting entries, in tokens. */
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

    /** Appends an entry. */
    push(entry: QueueEntry<T>): void {
        this.entries.push(entry);
        this.waitingCost += entry.cost;
        this.waitingCount++;
    }

    /** Gets the oldest waiting entry without removing it. */
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

    /** Gets the newest waiting entry without removing it. */
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

    /** Removes a waiting entry; its array element may be dropped later. */
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
