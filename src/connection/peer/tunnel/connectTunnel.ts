import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { openDirect } from "../../upstream/path/openDirect.ts";
import { encodeTunnelFrame } from "./encodeTunnelFrame.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";
import type { TunnelOptions } from "./tunnelOptions.ts";

/** Shorter than the time that the peer waits, so that it learns the reason. */
const connectTimeoutMilliseconds = 150;
const noBytes = Buffer.alloc(0);

/**
 * Connects a peer to an endpoint that it can't reach over its own links. A tunnel carries bytes only: all decisions on a request
 * stay with the peer. The connection is always direct, so that no tunnel goes through two nodes.
 * @param peer - Connection to the peer.
 * @param address - host:port of the endpoint.
 * @param options - How the connection is opened.
 */
export function connectTunnel(peer: Duplex, address: string, options: TunnelOptions): void {
    const { clock, createSocket, getRefusal, onConnected } = options;
    const refusal = getRefusal(address);
    if (refusal !== undefined) {
        refuse(peer, refusal);
        return;
    }
    let cancelOpening = () => undefined as void;
    const handleClose = () => cancelOpening();
    peer.once("close", handleClose);
    cancelOpening = openDirect({
        address,
        timeoutMilliseconds: connectTimeoutMilliseconds,
        clock,
        createSocket,
        onDone: result => {
            peer.off("close", handleClose);
            onConnected(address, result.err ? result.val : undefined);
            if (result.err) {
                refuse(peer, result.val);
                return;
            }
            peer.write(encodeTunnelFrame({ kind: TunnelFrameKind.Opened, payload: noBytes }));
            join(peer, result.val);
        },
    });
}

function refuse(peer: Duplex, reason: string): void {
    peer.end(encodeTunnelFrame({ kind: TunnelFrameKind.Failed, payload: Buffer.from(reason) }));
}

/**
 * Ends a tunnel whose endpoint has broken its connection, once the peer has what came before, which may be a complete answer. Without
 * the frame for a regular end, the peer takes the end of the tunnel as a failure.
 */
function destroyAfterWrites(peer: Duplex): void {
    if (peer.writable) {
        peer.write(noBytes, () => peer.destroy());
    }
    else {
        peer.destroy();
    }
}

/** Passes bytes between a peer and an endpoint, each as fast as the other takes them, until either connection ends. */
function join(peer: Duplex, endpoint: Socket): void {
    let hasEnded = false;
    endpoint.on("data", (chunk: Buffer) => {
        if (!peer.write(encodeTunnelFrame({ kind: TunnelFrameKind.Data, payload: chunk }))) {
            endpoint.pause();
        }
    });
    peer.on("drain", () => endpoint.resume());
    endpoint.once("end", () => {
        hasEnded = true;
        peer.end(encodeTunnelFrame({ kind: TunnelFrameKind.End, payload: noBytes }));
    });
    endpoint.on("error", () => undefined);
    endpoint.once("close", () => {
        if (!hasEnded) {
            destroyAfterWrites(peer);
        }
    });
    peer.once("close", () => endpoint.destroy());
    peer.on("data", (chunk: Buffer) => {
        if (!endpoint.write(chunk)) {
            peer.pause();
        }
    });
    peer.once("end", () => endpoint.end());
    endpoint.on("drain", () => peer.resume());
    peer.resume();
}
