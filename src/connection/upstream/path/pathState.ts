/** What a test of the path to an endpoint has shown. */
export const PathState = {
    /** This node can connect to the endpoint. */
    Open: "open",
    /** This node can't connect to the endpoint, but a peer can. */
    Lost: "lost",
    /** Neither this node nor its peers can connect to the endpoint: its machine refuses connections, or a peer that reaches others has tried. */
    Down: "down",
    /** This node can't connect to the endpoint, and may itself be cut off: no peer has found out whether the endpoint can be reached. */
    Unknown: "unknown",
} as const;
export type PathState = typeof PathState[keyof typeof PathState];
