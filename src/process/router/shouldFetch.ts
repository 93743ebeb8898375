/** What is known when a peer turns out to be ahead. */
interface FetchSituation {
    /** Whether the section is being fetched already. */
    isFetching: boolean;
    /** Whether nothing of the section is known here. */
    isEmpty: boolean;
    /** Whether the peer is in the same data centre. */
    isNear: boolean;
    /** Whether this node brings news into its data centre. */
    isHub: boolean;
    /** Since when a peer is known to be ahead. */
    behindMilliseconds: number;
}

/** Within this time the hubs of a data centre have the change, and the nodes near them a round later. */
const awayPatienceMilliseconds = 700;

/**
 * Decides whether changes are fetched from a peer that has them.
 *
 * The load that it answers is a change of the whole configuration at many nodes at once: half a megabyte that each node fetches
 * from several others fills slow links, so that calls time out while the old version stays in force. So there is one fetch at a time, and only hubs fetch from another data centre at once.
 */
export function shouldFetch(situation: FetchSituation): boolean {
    const { isFetching, isEmpty, isNear, isHub, behindMilliseconds } = situation;
    if (isFetching) {
        return false;
    }
    return isEmpty || isNear || isHub || behindMilliseconds >= awayPatienceMilliseconds;
}
