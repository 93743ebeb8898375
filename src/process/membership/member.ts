import type { MemberState } from "./memberState.ts";

/** What one node knows of another, or of itself. Records are values: a change makes a new one. */
export interface Member {
    /** Unique name of the node. */
    readonly nodeId: string;
    /** Only the node itself raises it; a higher one beats every record with a lower one. */
    readonly incarnation: number;
    readonly state: MemberState;
    /** host:port of the peer listener. */
    readonly peerAddress: string;
    readonly dataCentre: string;
    /** Version of the configuration that the node had in force when it was last heard of. */
    readonly configurationVersion: number;
}
