import { connect } from "node:net";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import { Err } from "../../../result.ts";
import type { OpenTunnelOptions } from "../../upstream/path/openTunnelOptions.ts";
import { awaitTunnel } from "./awaitTunnel.ts";
import { TunnelFailure } from "./tunnelFailure.ts";
import { TunnelFailureKind } from "./tunnelFailureKind.ts";

/**
 * Opens a connection to an endpoint through the listener that a peer has for tunnels alone.
 * @returns A function that cancels the attempt.
 */
export function openTcpTunnel(options: OpenTunnelOptions): () => void {
    const { peer, address, onDone } = options;
    const target = parseAddress(peer);
    if (target === undefined) {
        onDone(Err(TunnelFailure.create(TunnelFailureKind.Peer, `${peer} is not a valid address of a peer.`)));
        return () => undefined;
    }
    const socket = connect({ ...target, noDelay: true });
    socket.once("connect", () => socket.write(`${address}\n`));
    return awaitTunnel(socket, options);
}
