import { LeaseAction } from "./leaseAction.ts";

/** Input of {@link decideLeaseAction}. Times are monotonic, in milliseconds. */
interface LeaseSituation {
    /** Whether this node was the last to acquire the lease and has not released it. */
    isHolder: boolean;
    /** Time since which there has been something to order; undefined if there is nothing. */
    workSince: number | undefined;
    /** Time at which there was something to order last. */
    lastWorkAt: number;
    /** Number of nodes that should acquire the lease before this one. */
    rank: number;
    now: number;
}

/** Time for which an idle holder keeps the lease. Losses come in groups, and each new holder has to learn what the last one ordered. */
const keepMilliseconds = 6_000;
/** Time for which a node waits for each node that should order before it. */
const takeoverMilliseconds = 1_500;
/** With more nodes than this before it, a node waits no longer. That two of them fail at once is rare. */
const maximumRank = 2;

/**
 * Decides whether a node acquires, keeps or releases the placement lease. Handles losses and moves that follow each other within seconds:
 * the lease changed hands 18 times in 24 s, without an order, while holders released it between two moves. Of the nodes that see the
 * work, one acquires the lease at once, and the others only if the work is still there later.
 */
export function decideLeaseAction({ isHolder, workSince, lastWorkAt, rank, now }: LeaseSituation): LeaseAction {
    const wait = isHolder ? 0 : Math.min(rank, maximumRank) * takeoverMilliseconds;
    if (workSince !== undefined && now - workSince >= wait) {
        return LeaseAction.Acquire;
    }
    if (workSince !== undefined) {
        return LeaseAction.Await;
    }
    return isHolder && now - lastWorkAt < keepMilliseconds ? LeaseAction.Keep : LeaseAction.Release;
}
