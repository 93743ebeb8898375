/** Target of a heartbeat. */
export interface Contact {
    /** host:port of the peer listener. */
    address: string;
    /** Id of the member, or undefined for an address of the VM list that belongs to no known member. */
    nodeId: string | undefined;
    /** Whether to fetch the peer's full view after the heartbeat. */
    isPull: boolean;
}
