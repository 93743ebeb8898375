import type { TunnelFrame } from "./tunnelFrame.ts";
import { tunnelLayout } from "./tunnelLayout.ts";

/** Encodes a frame into one buffer, so that it is sent with one write. */
export function encodeTunnelFrame({ kind, payload }: TunnelFrame): Buffer {
    const { kindOffset, payloadOffset } = tunnelLayout;
    const bytes = Buffer.allocUnsafe(payloadOffset + payload.length);
    bytes.writeUInt32BE(payload.length, 0);
    bytes.writeUInt8(kind, kindOffset);
    bytes.set(payload, payloadOffset);
    return bytes;
}
