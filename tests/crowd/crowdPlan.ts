/** What the connections of a crowd send, and whether they read. All are opened at once and stay open until the crowd leaves. */
export interface CrowdPlan {
    port: number;
    connections: number;
    /** Sent first on each connection. */
    head: string;
    /** Sent repeatedly after the head, as fast as the program takes it. */
    block: string;
    /** Number of times that the block is sent. */
    blocks: number;
    /** Sent last. Default: nothing. */
    tail?: string;
    /** Whether the connections read what they get. */
    reads: boolean;
    /** Whether a connection that the program closes is opened again. Default: false. */
    isRenewed?: boolean;
}
