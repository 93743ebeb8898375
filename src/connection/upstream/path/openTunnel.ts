import type { OpenTunnelOptions } from "./openTunnelOptions.ts";

/**
 * Opens a connection to an endpoint through a peer. Nothing of a request is sent before the peer's connection is open.
 * @returns A function that cancels the attempt.
 */
export type OpenTunnel = (options: OpenTunnelOptions) => () => void;
