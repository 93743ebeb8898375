/** Figures of a node that are no slopes. */
export interface PathFigures {
    /** After the requests of the hop measurement, with nothing running. */
    heapMebibytes: number;
    residentMebibytes: number;
    callers: readonly { callers: number; hopsPerSecond: number; microsecondsPerHop: number; }[];
}
