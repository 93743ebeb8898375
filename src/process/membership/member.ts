import type { MemberState } from "./memberState.ts";

/** Record of a node. It is immutable: a change creates a new record. */
export interface Member {
    /** Unique id of the node. */
    readonly nodeId: string;
    /** Increased only by the node itself. A record with a higher incarnation supersedes all with a lower one. */
    readonly incarnation: number;
    readonly state: MemberState;
    /** host:port of the peer listener. */
    readonly peerAddress: string;
    readonly dataCentre: string;
    /** Last known configuration version of the node. */
    readonly configurationVersion: number;
}
