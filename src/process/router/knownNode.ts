/** Another node of the deployment. */
export interface KnownNode {
    /** Changes with each start of the process. */
    nodeId: string;
    /** Address of its peer listener, as host:port. */
    address: string;
    dataCentre: string;
    /** Whether it last reported that the store refuses it or does not answer it. */
    isWithoutStore: boolean;
    /** Latest known monotonic time in milliseconds at which any node heard from it directly. */
    heardAt: number;
}
