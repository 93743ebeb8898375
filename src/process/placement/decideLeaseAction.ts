import { LeaseAction } from "./leaseAction.ts";

/** Input of {@link decideLeaseAction}. Times are monotonic, in milliseconds. */
interface LeaseSituation {
    /** Whether this node was the last to acquire the lease and has not released it. */
    isHolder: boolean;
    /** Time since which there has been something to order; undefined if there is nothing. */
    workSince: number | undefined;
    /** Time at which there was something to order last. */
    lastWorkAt: number;
    now: number;
}

/** Time for which an idle holder keeps the lease. Losses come in groups, and each new holder has to learn what the last one ordered. */
const keepMilliseconds = 6_000;

/**
 * Decides whether a node acquires, keeps or releases the placement lease. Handles losses and moves that follow each other within seconds:
 * the lease changed hands 18 times in 24 s, without an order, while holders released it between two moves.
 */
export function decideLeaseAction({ isHolder, workSince, lastWorkAt, now }: LeaseSituation): LeaseAction {
    if (workSince !== undefined) {
        return LeaseAction.Acquire;
    }
    return isHolder && now - lastWorkAt < keepMilliseconds ? LeaseAction.Keep : LeaseAction.Release;
}
