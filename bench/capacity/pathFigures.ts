/** Measurements of the data path that aren't slopes. The memory is that of the node. */
export interface PathFigures {
    /** Heap in use after the hop measurement, when no requests are running. */
    heapMebibytes: number;
    residentMebibytes: number;
    /** Throughput and processor time for each number of concurrent callers. */
    callers: readonly { callers: number; hopsPerSecond: number; microsecondsPerHop: number; }[];
}
