/** Path and headers of a tunnel over the HTTP/2 connection to a peer. */
export const peerTunnelHeaders = {
    path: "/foxlead/tunnel",
    /** host:port of the endpoint. */
    address: "foxlead-endpoint-address",
} as const;
