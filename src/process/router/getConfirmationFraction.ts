import { maximumCopyAgeFraction } from "./maximumCopyAgeFraction.ts";

/** The first watcher confirms its copy by a call if nothing else has for this fraction of the configuration time. */
const firstWatcherFraction = 0.3;
/** The same with few nodes, whose calls cost little. */
const firstOfFewFraction = 0.25;
/**
 * Added for each watcher before this one. A watcher that takes over does so before the copies of other nodes become too old, and only
 * after the proof of the one before it would have come.
 */
const watcherStepFraction = 0.2;
/** The same for any other of few nodes, all of which watch the store. */
const otherOfFewFraction = 0.6;

/**
 * Gets the age at which a node confirms its copy of the store by a call, as a fraction of the configuration time. Usually only the first
 * watcher reaches it, and all others learn of its proof from messages. If it stands still, the next one takes over, and a node that no
 * proof reaches makes the call itself: the bound of the configuration time depends on no single node.
 * @param rank - Number of watchers before the node; negative if it is not a watcher.
 * @param hasManyNodes - Whether only a few of the nodes watch the store.
 */
export function getConfirmationFraction(rank: number, hasManyNodes: boolean): number {
    if (!hasManyNodes) {
        return rank === 0 ? firstOfFewFraction : otherOfFewFraction;
    }
    return rank < 0
        ? maximumCopyAgeFraction
        : Math.min(maximumCopyAgeFraction, firstWatcherFraction + rank * watcherStepFraction);
}
