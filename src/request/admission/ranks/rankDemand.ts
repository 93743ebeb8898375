/** New requests of one rank. */
export interface RankDemand {
    /** Rank; lower ranks go first. */
    rank: number;
    /** Tokens a second that arrive. */
    demand: number;
    /** Tokens a second that are started. */
    admitted: number;
}
