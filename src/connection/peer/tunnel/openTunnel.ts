import { connect } from "node:net";
import type { Duplex } from "node:stream";
import type { Clock } from "../../../process/clock.ts";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import { Err, Ok, type Result } from "../../../result.ts";
import { createTunnelStream } from "./createTunnelStream.ts";
import { TunnelFailure } from "./tunnelFailure.ts";
import { TunnelFailureKind } from "./tunnelFailureKind.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";
import { TunnelFrameReader } from "./tunnelFrameReader.ts";

/** Options of {@link openTunnel}. */
interface OpenTunnelOptions {
    /** host:port of the peer's listener for tunnels. */
    peer: string;
    /** host:port of the endpoint. */
    address: string;
    timeoutMilliseconds: number;
    clock: Pick<Clock, "setTimer">;
    /** Called once, with the open tunnel or the reason for the failure. Not called after a cancellation. */
    onDone(result: Result<Duplex, TunnelFailure>): void;
}

/**
 * Opens a connection to an endpoint through a peer. Nothing of a request is sent before the peer's connection is open.
 * @returns A function that cancels the attempt.
 */
export function openTunnel({ peer, address, timeoutMilliseconds, clock, onDone }: OpenTunnelOptions): () => void {
    const target = parseAddress(peer);
    if (target === undefined) {
        onDone(Err(TunnelFailure.create(TunnelFailureKind.Peer, `${peer} is not a valid address of a peer.`)));
        return () => undefined;
    }
    const socket = connect({ ...target, noDelay: true });
    const reader = TunnelFrameReader.create();
    const cancel = () => {
        timer.cancel();
        socket.removeAllListeners();
        socket.on("error", () => undefined);
        socket.destroy();
    };
    const fail = (kind: TunnelFailureKind, message: string) => {
        cancel();
        onDone(Err(TunnelFailure.create(kind, `The peer ${peer} opened no tunnel to ${address}: ${message}`)));
    };
    const timer = clock.setTimer(
        timeoutMilliseconds,
        () => fail(TunnelFailureKind.Peer, `no answer within ${timeoutMilliseconds} ms.`),
    );
    socket.once("connect", () => socket.write(`${address}\n`));
    socket.once("error", error => fail(TunnelFailureKind.Peer, error.message));
    socket.once("close", () => fail(TunnelFailureKind.Peer, "it closed the connection."));
    socket.on("data", (chunk: Buffer) => {
        const frames = reader.push(chunk);
        if (frames.err) {
            fail(TunnelFailureKind.Peer, frames.val);
            return;
        }
        const [first, ...others] = frames.val;
        if (first?.kind === TunnelFrameKind.Opened) {
            timer.cancel();
            socket.removeAllListeners();
            onDone(Ok(createTunnelStream(socket, reader, others)));
        }
        else if (first !== undefined) {
            fail(TunnelFailureKind.Endpoint, first.payload.toString("utf8"));
        }
    });
    return cancel;
}
