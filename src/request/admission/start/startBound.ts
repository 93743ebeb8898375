/** What kept a request from starting when it was refused. */
export const StartBound = {
    /** Free memory of the endpoints. */
    Capacity: "capacity",
    /** Memory that its rank leaves free for higher ranks. */
    Reserve: "reserve",
    /** A link between data centres. */
    Link: "link",
    /** Layers that no available endpoint holds. */
    Layers: "layers",
    /** A pause that endpoints have asked for. */
    Pause: "pause",
    /** Limits that endpoints have declared. */
    Limit: "limit",
} as const;
export type StartBound = (typeof StartBound)[keyof typeof StartBound];
