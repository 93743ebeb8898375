import type { RankDemand } from "../../request/admission/ranks/rankDemand.ts";
import type { LinkAdmission } from "../../request/relay/links/linkAdmission.ts";
import type { RankReserve } from "../../request/relay/queue/rankReserve.ts";
import type { RecentRefusals } from "../../request/relay/queue/recentRefusals.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { OverloadProtection } from "../overload/overloadProtection.ts";
import type { EndpointLosses } from "./endpointLosses.ts";
import type { StoreWatchController } from "./storeWatchController.ts";

/** The parts of a node that {@link createLoadStatus} reads. */
interface LoadStatusSources {
    rankReserve: Pick<RankReserve, "demands" | "listReserves">;
    refusals: Pick<RecentRefusals, "list">;
    linkAdmission: Pick<LinkAdmission, "listStatus">;
    losses: Pick<EndpointLosses, "listFound">;
    storeWatch: Pick<StoreWatchController, "getPlanner">;
    lease: Pick<FencedLease, "isHeld">;
    overload: Pick<OverloadProtection, "getStep" | "getLag" | "isOutOfRotation">;
    /** Number of live nodes, including this one. */
    nodeCount: number;
}

/**
 * Creates the part of a node's status that shows which requests are held back, by what and since when: ranks, links between data
 * centres, lost endpoints, the planner of placements and the protection from overload.
 * @param sources - Parts of the node; they are only read.
 * @param now - Monotonic time in milliseconds.
 */
export function createLoadStatus(sources: LoadStatusSources, now: number) {
    const { rankReserve, refusals, linkAdmission, losses, storeWatch, lease, overload, nodeCount } = sources;
    const { demands } = rankReserve;
    return {
        ranks: demands.listRanks(now).map(rank => ({
            rank,
            thisNode: formatRates(demands.getOwn(rank, now)),
            allNodes: formatRates(demands.getTotal(undefined, rank, nodeCount, now)),
        })),
        reserves: rankReserve.listReserves(now),
        refusals: refusals.list(now),
        links: linkAdmission.listStatus(now),
        lostEndpoints: losses.listFound(now),
        placement: { planner: storeWatch.getPlanner(), isLeaseHolder: lease.isHeld() },
        overload: {
            step: overload.getStep() ?? "none",
            lagMilliseconds: overload.getLag(),
            isOutOfRotation: overload.isOutOfRotation(),
        },
    };
}

function formatRates({ demand, admitted }: RankDemand) {
    return { demandTokensPerSecond: Math.round(demand), admittedTokensPerSecond: Math.round(admitted) };
}
