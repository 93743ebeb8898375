/** What an experiment can do without, to learn what it is worth. */
export const Mechanism = {
    /** Faster exchange of loads among nodes where they contend for room. */
    News: "news",
    /** Each node's own room at an endpoint; without it a node takes whatever its sums leave. */
    Room: "room",
    /** A full endpoint is no lost one. */
    Full: "full",
    /** Callers that come back are told from new ones. */
    Returns: "returns",
    /** Those that can be in time go first, and who can't be served in time is turned away on arrival. */
    Timeliness: "timeliness",
} as const;
export type Mechanism = typeof Mechanism[keyof typeof Mechanism];
