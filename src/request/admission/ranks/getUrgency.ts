/** Number of ranks that are told apart. Each has one value for requests on time and one for late ones, of 0 to 9. */
const urgencyBands = 5;

/**
 * Gets the urgency of a request at the endpoints, from 0, which goes first, to 9. Undefined where a service has one rank.
 *
 * It is designed for engines that have more prompts than they can read on time. As in the start queue, the rank goes before
 * everything else, and among requests of one rank those that can still be on time go first.
 *
 * @param rank - Rank of the request.
 * @param ranks - Ranks of the service, in ascending order.
 * @param isOnTime - Whether the request can still be on time.
 */
export function getUrgency(rank: number, ranks: readonly number[], isOnTime: boolean): number | undefined {
    if (ranks.length < 2) {
        return undefined;
    }
    const index = Math.max(0, ranks.findLastIndex(known => known <= rank));
    const band = Math.floor(index * urgencyBands / Math.max(urgencyBands, ranks.length));
    return 2 * band + (isOnTime ? 0 : 1);
}
