/** An entry of a `FairQueue`. */
export interface QueueEntry<T> {
    readonly item: T;
    readonly customer: string;
    /** Expected cost, in tokens. */
    readonly cost: number;
    /** False once the entry has been dequeued or removed. */
    isWaiting: boolean;
}
