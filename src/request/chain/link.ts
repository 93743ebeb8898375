/** Latency and bandwidth of a link between two data centres. */
export interface Link {
    /** One-way latency. */
    latencyMilliseconds: number;
    /** Bandwidth in each direction. */
    bytesPerMillisecond: number;
}
