/** How the links of a node to the endpoints are cut. */
export const LinkCut = {
    None: "none",
    /** Open connections fall silent, and new ones never open. */
    Silent: "silent",
    /** Open connections are reset, and new ones are refused. */
    Reset: "reset",
    /** Open connections go on, and new ones are refused. */
    RefuseNew: "refuseNew",
} as const;
export type LinkCut = typeof LinkCut[keyof typeof LinkCut];
