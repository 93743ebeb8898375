/** State of a section when a peer turns out to be ahead. */
interface FetchState {
    /** Whether a fetch of the section is in flight. */
    isFetching: boolean;
    /** Whether this node has no copy of the section yet. */
    isEmpty: boolean;
    /** Whether the peer is in the same data centre. */
    isNear: boolean;
    /** Whether other nodes get updates from this node. */
    isDistributor: boolean;
    /** Time since a peer was first known to be ahead, in milliseconds. */
    behindMilliseconds: number;
}

/**
 * Delay before a node that is no hub fetches from another data centre. Within this time the hubs of its data centre have
 * the change, and the other nodes get it from them one round later.
 */
const remoteFetchDelayMilliseconds = 700;

/**
 * Decides whether to fetch changes from a peer that has them.
 *
 * When the whole configuration changes at many nodes at once and each node fetches half a megabyte from several peers, slow
 * links fill up and calls time out while the old version stays in force. Therefore a section has one fetch in flight, and
 * only hubs fetch from another data centre without a delay.
 */
export function shouldFetch(state: FetchState): boolean {
    const { isFetching, isEmpty, isNear, isDistributor, behindMilliseconds } = state;
    if (isFetching) {
        return false;
    }
    return isEmpty || isNear || isDistributor || behindMilliseconds >= remoteFetchDelayMilliseconds;
}
