import type { NodeState } from "../../wire/generated/foxlead/router/v1/router_pb.ts";

/** A part of the state that nodes exchange, such as the demand by rank. */
export interface PeerStatePart {
    /** Creates this node's records for an outgoing message. */
    createRecords(
        now: number,
    ): Partial<
        Pick<NodeState, "rankDemands" | "endpointLosses" | "linkLoads" | "lateEndedRuns" | "completedRequests">
    >;
    /** Applies the records of a peer's message. */
    applyRecords(message: NodeState, now: number): void;
}
