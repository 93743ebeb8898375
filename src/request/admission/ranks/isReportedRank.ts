/** Maximum rank that the messages between nodes can hold. */
const maximumRank = 0xffff_ffff;

/** Checks if nodes can report a rank to each other. The configuration allows ranks that their messages can't hold. */
export function isReportedRank(rank: number): boolean {
    return Number.isInteger(rank) && rank >= 0 && rank <= maximumRank;
}
