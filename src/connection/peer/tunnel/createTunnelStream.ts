import { Duplex } from "node:stream";
import type { ReceivingSocket } from "../../upstream/path/receivingSocket.ts";
import type { TunnelFrame } from "./tunnelFrame.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";
import type { TunnelFrameReader } from "./tunnelFrameReader.ts";

/**
 * Creates the near end of a tunnel that the peer has opened. It reads and writes like a socket to the endpoint. The bytes to the
 * endpoint go on as they are. The bytes from it come in frames, so that the end of the endpoint's connection differs from the end of
 * the peer: an answer whose end is the end of its connection would otherwise look complete when the peer stops.
 * @param connection - Connection to the peer.
 * @param reader - Reader of its frames, which has read the one that opened the tunnel.
 * @param frames - Frames that came with that one.
 */
export function createTunnelStream(
    connection: Duplex,
    reader: TunnelFrameReader,
    frames: readonly TunnelFrame[],
): ReceivingSocket {
    let hasEnded = false;
    const duplex = new Duplex({
        allowHalfOpen: false,
        read: () => void connection.resume(),
        write: (chunk: Buffer, encoding, callback) => void connection.write(chunk, encoding, callback),
        // Nothing is left to be written, so a failure that matters is reported by the connection itself.
        final: callback => void connection.end(() => callback()),
        destroy: (error, callback) => {
            connection.destroy();
            callback(error);
        },
    });
    const stream = Object.assign(duplex, { bytesRead: 0 });
    const handleFrames = (received: readonly TunnelFrame[]) => {
        for (const { kind, payload } of received) {
            stream.bytesRead += payload.length;
            if (kind === TunnelFrameKind.End) {
                hasEnded = true;
                stream.push(null);
                return;
            }
            if (kind !== TunnelFrameKind.Data || payload.length === 0) {
                stream.destroy(new Error("The peer sent a frame without bytes of the endpoint."));
                return;
            }
            if (!stream.push(payload)) {
                connection.pause();
            }
        }
    };
    connection.on("data", (chunk: Buffer) => {
        if (hasEnded || stream.destroyed) {
            connection.destroy();
            return;
        }
        const received = reader.push(chunk);
        if (received.err) {
            stream.destroy(new Error(received.val));
            return;
        }
        handleFrames(received.val);
    });
    connection.on("error", error => {
        // What the endpoint sent is complete. It may not have been read yet.
        if (!hasEnded) {
            stream.destroy(error);
        }
    });
    connection.once("close", () => {
        if (!hasEnded) {
            stream.destroy(new Error("The tunnel through a peer was closed before the endpoint's connection ended."));
        }
    });
    handleFrames(frames);
    return stream;
}
