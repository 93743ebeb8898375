/** What a soak runs. */
export interface SoakOptions {
    /** Seed of the load and of the choice of faults. */
    seed: number;
    /** Longest time of load, in milliseconds. */
    milliseconds: number;
    /** The load ends after so many requests; not limited where undefined. */
    maximumRequests?: number;
    /** The faults end after so many; not limited where undefined. */
    maximumFaults?: number;
    /** Whether nodes run from the built executable or from the sources. */
    isBuilt: boolean;
    nodes: number;
    requestsPerSecond: number;
    /** Faults to choose from; all where undefined. */
    kinds?: readonly string[];
    /** Takes each line that tells how the soak goes on. */
    print(line: string): void;
}
