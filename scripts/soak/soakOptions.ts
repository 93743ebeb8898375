/** Options of a soak test. */
export interface SoakOptions {
    /** Seed of the load and the faults. */
    seed: number;
    /** Maximum duration of the load, in milliseconds. */
    milliseconds: number;
    /** Unlimited if undefined. */
    maximumRequests?: number;
    /** Unlimited if undefined. */
    maximumFaults?: number;
    /** Whether nodes run from the built executable instead of the sources. */
    isBuilt: boolean;
    nodes: number;
    requestsPerSecond: number;
    /** Kinds of faults to choose from; all if undefined. */
    kinds?: readonly string[];
    /** Prints a line of progress. */
    print(line: string): void;
}
