/** A node process that serves no request. */
export interface IdleNode {
    state: string;
    residentMebibytes: number;
    /** Part of the resident memory that holds pages of files: the executable. */
    filesMebibytes: number;
    heapMebibytes: number;
    processorMillisecondsPerSecond: number;
}
