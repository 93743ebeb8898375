import type { Clock } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { OverloadProtection } from "../overload/overloadProtection.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import type { CopyProof } from "./copyProof.ts";
import type { EndpointLinks } from "./endpointLinks.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { PeerState } from "./peerState.ts";
import type { RetryTransfer } from "./retryTransfer.ts";
import type { StoreWatchController } from "./storeWatchController.ts";

/** Options of a `PeerExchange`. */
export interface PeerExchangeOptions {
    nodeId: string;
    /** Address of this node's peer listener, as host:port. */
    address: string;
    dataCentre: string;
    /** What this node tells about its links to the endpoints. */
    links: Pick<EndpointLinks, "getTunnelAddress" | "getUnreachableFraction">;
    /** Tracks the store's state, as seen by this node and reported by peers. */
    storeWatch: StoreWatchController;
    /** Knows how current this node's copy of the store is. */
    proof: CopyProof;
    /** Lease for placing layers; peers pass on that it was released. */
    lease: Pick<FencedLease, "getNewestRelease" | "noteRelease">;
    /** Addresses of the initial nodes; they may be stale or down. */
    seeds: readonly string[];
    nodes: NodeTable;
    /** Assigns duties to nodes. */
    owners: Pick<RendezvousOwners, "getOwners">;
    sections: readonly RecordSection[];
    state: PeerState;
    /** Decides how retries move between this node and its peers. */
    retries: RetryTransfer;
    /** Whether this node's requests compete with those of other nodes for endpoint capacity. */
    isBusy(): boolean;
    /** Reviewed in each round. */
    overload: Pick<OverloadProtection, "review" | "getLag" | "getExchangeIntervalFactor">;
    /** Whether this node tells the load balancer that it is ready. */
    isReady(): boolean;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}
