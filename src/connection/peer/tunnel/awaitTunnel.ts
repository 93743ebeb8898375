import type { Duplex } from "node:stream";
import { Err, Ok } from "../../../result.ts";
import type { OpenTunnelOptions } from "../../upstream/path/openTunnelOptions.ts";
import { createTunnelStream } from "./createTunnelStream.ts";
import { TunnelFailure } from "./tunnelFailure.ts";
import { TunnelFailureKind } from "./tunnelFailureKind.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";
import { TunnelFrameReader } from "./tunnelFrameReader.ts";

/**
 * Waits until a peer says whether it has opened the connection to the endpoint.
 * @param connection - Connection to the peer, on which the endpoint's address is sent.
 * @param options - What was asked for.
 * @returns A function that cancels the attempt.
 */
export function awaitTunnel(
    connection: Duplex,
    { peer, address, timeoutMilliseconds, clock, onDone }: OpenTunnelOptions,
): () => void {
    const reader = TunnelFrameReader.create();
    const stop = () => {
        timer.cancel();
        connection.off("error", handleError);
        connection.off("close", handleClose);
        connection.off("data", handleData);
    };
    const cancel = () => {
        stop();
        connection.on("error", () => undefined);
        connection.destroy();
    };
    const fail = (kind: TunnelFailureKind, message: string) => {
        cancel();
        onDone(Err(TunnelFailure.create(kind, `The peer ${peer} opened no tunnel to ${address}: ${message}`)));
    };
    const handleError = (error: Error) => fail(TunnelFailureKind.Peer, error.message);
    const handleClose = () => fail(TunnelFailureKind.Peer, "it closed the connection.");
    const handleData = (chunk: Buffer) => {
        const frames = reader.push(chunk);
        if (frames.err) {
            fail(TunnelFailureKind.Peer, frames.val);
            return;
        }
        const [first, ...others] = frames.val;
        if (first?.kind === TunnelFrameKind.Opened) {
            stop();
            onDone(Ok(createTunnelStream(connection, reader, others)));
        }
        else if (first !== undefined) {
            fail(TunnelFailureKind.Endpoint, first.payload.toString("utf8"));
        }
    };
    const timer = clock.setTimer(
        timeoutMilliseconds,
        () => fail(TunnelFailureKind.Peer, `no answer within ${timeoutMilliseconds} ms.`),
    );
    connection.once("error", handleError);
    connection.once("close", handleClose);
    connection.on("data", handleData);
    return cancel;
}
