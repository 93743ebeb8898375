import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import { LeaseAction } from "../placement/leaseAction.ts";
import { isLateNode } from "./isLateNode.ts";
import type { KnownNode } from "./knownNode.ts";
import { listPlanners } from "./listPlanners.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";

/** Options of a {@link LeaseReviewer}. */
interface LeaseReviewerOptions {
    nodeId: string;
    /** Assigns duties to nodes. */
    owners: Pick<RendezvousOwners, "getOwners">;
    lease: Pick<FencedLease, "isLastHolder" | "start" | "pause" | "keep" | "refresh" | "rest">;
    log: EventLog;
    /** Whether this node is giving up its duties. */
    isDraining(): boolean;
    /**
     * Decides what to do with the lease while the store answers this node.
     * @param rank - Number of nodes that should acquire the lease before this one.
     */
    getLeaseAction(rank: number): LeaseAction;
    /** Gets the lag of this node's event loop in milliseconds. */
    getLag(): number;
}

/** What this node knows of the others and the store. */
interface LeaseReview {
    /** The other live nodes. */
    others: readonly KnownNode[];
    /** Whether this node watches the store. */
    isWatcher: boolean;
    /** Whether the store answers this node. */
    isStoreAnswering: boolean;
    /** Whether there are so many nodes that only few of them watch the store. */
    hasManyNodes: boolean;
    /** Whether this node knows other nodes, or has found that it is the only one. */
    hasPeers: boolean;
}

/** Acquires, keeps and releases the placement lease, according to which node should order placements first. */
export class LeaseReviewer {
    private readonly options: LeaseReviewerOptions;
    /** Ids of the nodes that may acquire the lease, the one that should do it first. */
    private planners: readonly string[] = [];
    /** Whether the lease is left to another node although there is something to order. */
    private isAwaiting = false;

    private constructor(options: LeaseReviewerOptions) {
        this.options = options;
    }

    /** Creates an instance that knows no nodes. */
    static create(options: LeaseReviewerOptions): LeaseReviewer {
        return new LeaseReviewer(options);
    }

    /** Reviews the lease. */
    review({ others, isWatcher, isStoreAnswering, hasManyNodes, hasPeers }: LeaseReview): void {
        const { nodeId, lease, isDraining, getLeaseAction } = this.options;
        if (!isWatcher || !isStoreAnswering) {
            this.reviewWithoutDuty(isStoreAnswering);
            return;
        }
        const isNewPlanner = this.updatePlanners(others, hasManyNodes);
        const rank = this.planners.indexOf(nodeId);
        const action = getLeaseAction(rank < 0 ? this.planners.length : rank);
        const wasAwaiting = this.isAwaiting;
        this.isAwaiting = action === LeaseAction.Await;
        switch (action) {
            case LeaseAction.Acquire:
                if (hasPeers && !isDraining()) {
                    lease.start();
                }
                return;
            case LeaseAction.Keep:
                lease.keep();
                return;
            case LeaseAction.Await:
                lease.pause();
                break;
            case LeaseAction.Release:
                // Renewing an unused lease every second would be a fifth of all calls to the store on a day with little activity.
                lease.rest();
        }
        if (isNewPlanner || this.isAwaiting && !wasAwaiting) {
            lease.refresh();
        }
    }

    /** Gets the node that should order placements, as of the last review; undefined before the first one. */
    getPlanner(): string | undefined {
        return this.planners[0];
    }

    /** Leaves the lease to other nodes. */
    private reviewWithoutDuty(isStoreAnswering: boolean): void {
        const { lease, getLeaseAction } = this.options;
        // A holder would renew the lease for as long as it runs, although it has no orders.
        if (isStoreAnswering && lease.isLastHolder() && getLeaseAction(0) !== LeaseAction.Acquire) {
            lease.rest();
            return;
        }
        // Without the store no node can acquire the lease; only its holder keeps trying to renew it.
        // A node that has just started and knows few others counts as a store watcher. If all such nodes kept trying to
        // acquire the lease, their writes would be useless.
        lease.pause();
    }

    /** Ranks the nodes that may acquire the lease. Returns whether this one has become the first. */
    private updatePlanners(others: readonly KnownNode[], hasManyNodes: boolean): boolean {
        const { nodeId, owners, getLag, log } = this.options;
        const lag = getLag();
        const nodes = [...others, { nodeId, isWithoutStore: false, lag }];
        // In a large deployment only the nodes that watch the store may acquire the lease.
        const watching = hasManyNodes ? new Set(listStoreWatchers(nodes, owners).watching) : undefined;
        const candidates = nodes.filter(node => watching?.has(node.nodeId) !== false);
        const [earlier] = this.planners;
        this.planners = listPlanners(
            candidates.map(node => ({ ...node, isLate: isLateNode(node.lag ?? 0) })),
            owners,
        );
        const [planner = ""] = this.planners;
        if (planner === earlier) {
            return false;
        }
        const fields = {
            planner,
            candidates: this.planners.length,
            nodes: nodes.length,
            lagMilliseconds: Math.round(lag),
        };
        log.write(events.placementPlannerChosen, fields);
        return planner === nodeId;
    }
}
