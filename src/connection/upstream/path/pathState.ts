/** What a test of the path to an endpoint has shown. */
export const PathState = {
    /** This node can connect to the endpoint. */
    Open: "open",
    /** This node can't connect to the endpoint, but a peer can. */
    Lost: "lost",
    /** The endpoint's machine refuses connections, or neither this node nor peers that reach other endpoints can connect to it. */
    Down: "down",
    /** This node can't connect to the endpoint, and may itself be cut off: no peer has found out whether the endpoint can be reached. */
    Unknown: "unknown",
} as const;
export type PathState = typeof PathState[keyof typeof PathState];
