import type { GossipExchange } from "../../src/process/membership/gossipExchange.ts";
import type { MembershipView } from "../../src/process/membership/membershipView.ts";
import type { PeerRotation } from "../../src/process/membership/peerRotation.ts";

/** A node of a {@link SimulatedFleet}. */
export interface SimulatedNode {
    view: MembershipView;
    exchange: GossipExchange;
    rotation: PeerRotation;
    /** If the node responds to its peers and contacts them. */
    isUp: boolean;
}
