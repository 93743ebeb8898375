/** Measurements of the data path that aren't slopes. */
export interface PathFigures {
    /** Heap of the node after the hop measurement, when no requests are running. */
    heapMebibytes: number;
    /** Resident memory of the node at the same time. */
    residentMebibytes: number;
    /** Throughput and processor time for each number of concurrent callers. */
    callers: readonly { callers: number; hopsPerSecond: number; microsecondsPerHop: number; }[];
}
