/** Another node of the deployment. */
export interface KnownNode {
    /** New with each start of a process. */
    nodeId: string;
    /** host:port of its peer listener. */
    address: string;
    dataCentre: string;
    /** Whether the store refuses it or does not answer it, as it said last. */
    isWithoutStore: boolean;
    /** Monotonic time in milliseconds at which anyone heard of it directly, as far as known. */
    heardAt: number;
}
