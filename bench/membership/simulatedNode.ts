import type { GossipExchange } from "../../src/process/membership/gossipExchange.ts";
import type { MembershipView } from "../../src/process/membership/membershipView.ts";
import type { PeerRotation } from "../../src/process/membership/peerRotation.ts";

/** A simulated node. */
export interface SimulatedNode {
    view: MembershipView;
    exchange: GossipExchange;
    rotation: PeerRotation;
    /** Whether it answers and contacts others. */
    isUp: boolean;
}
