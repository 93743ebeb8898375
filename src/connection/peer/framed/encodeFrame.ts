import type { Frame } from "./frame.ts";
import { frameLayout } from "./frameLayout.ts";

/** Encodes a frame into one buffer, so that it is sent with one write. */
export function encodeFrame({ callId, kind, method, payload }: Frame): Buffer {
    const { lengthBytes, callOffset, kindOffset, methodLengthOffset, methodOffset } = frameLayout;
    const payloadOffset = methodOffset + method.length;
    const bytes = Buffer.allocUnsafe(payloadOffset + payload.length);
    bytes.writeUInt32BE(bytes.length - lengthBytes, 0);
    bytes.writeUInt32BE(callId, callOffset);
    bytes.writeUInt8(kind, kindOffset);
    bytes.writeUInt8(method.length, methodLengthOffset);
    bytes.write(method, methodOffset, "latin1");
    bytes.set(payload, payloadOffset);
    return bytes;
}
