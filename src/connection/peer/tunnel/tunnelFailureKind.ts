/** Why a tunnel was not opened. */
export const TunnelFailureKind = {
    /** The peer does not answer, or takes no tunnels. */
    Peer: "peer",
    /** The peer answers but can't connect to the endpoint. */
    Endpoint: "endpoint",
} as const;
export type TunnelFailureKind = typeof TunnelFailureKind[keyof typeof TunnelFailureKind];
