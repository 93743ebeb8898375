/** Whom to send a heartbeat to. */
export interface Contact {
    /** host:port of the peer listener. */
    address: string;
    /** Name of the member; undefined for an address of the VM list that no member is known to have. */
    nodeId: string | undefined;
    /** Whether to fetch the peer's whole view after the heartbeat. */
    isPull: boolean;
}
