/** Measurements of a node process that serves no requests. */
export interface IdleNode {
    /** Description of the state in which the node was measured. */
    state: string;
    residentMebibytes: number;
    /** Resident memory that is mapped from files, such as the executable. */
    filesMebibytes: number;
    heapMebibytes: number;
    processorMillisecondsPerSecond: number;
}
