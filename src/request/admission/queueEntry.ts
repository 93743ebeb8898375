/** One waiting item of a `FairQueue`. */
export interface QueueEntry<T> {
    readonly item: T;
    readonly customer: string;
    /** Expected work, in tokens. */
    readonly cost: number;
    /** False once the entry was taken or removed. */
    isWaiting: boolean;
}
