/** What a link between two data centres gives. */
export interface Link {
    /** One way, in milliseconds. */
    latencyMilliseconds: number;
    /** Bandwidth each way, in bytes a millisecond. */
    bytesPerMillisecond: number;
}
