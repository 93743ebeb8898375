/** What a test of the path to an endpoint has shown. */
export const PathState = {
    /** This node can connect to the endpoint. */
    Open: "open",
    /** This node can't connect to the endpoint, but a peer can. */
    Lost: "lost",
    /** Neither this node nor its peers can connect to the endpoint. */
    Down: "down",
} as const;
export type PathState = typeof PathState[keyof typeof PathState];
