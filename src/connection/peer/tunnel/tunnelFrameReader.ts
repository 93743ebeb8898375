import { Err, Ok, type Result } from "../../../result.ts";
import type { TunnelFrame } from "./tunnelFrame.ts";
import { TunnelFrameKind } from "./tunnelFrameKind.ts";
import { tunnelLayout } from "./tunnelLayout.ts";

const kinds: ReadonlySet<number> = new Set(Object.values(TunnelFrameKind));

/** Parses the bytes that the far end of a tunnel sends. */
export class TunnelFrameReader {
    private rest: Buffer = Buffer.alloc(0);

    private constructor() {}

    /** Creates a reader without buffered bytes. */
    static create(): TunnelFrameReader {
        return new TunnelFrameReader();
    }

    /**
     * Adds received bytes.
     * @returns The frames that are complete now, or why the bytes are not frames.
     */
    push(chunk: Buffer): Result<TunnelFrame[], string> {
        const { kindOffset, payloadOffset, maximumPayloadBytes } = tunnelLayout;
        const frames: TunnelFrame[] = [];
        let bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        while (bytes.length >= payloadOffset) {
            const length = bytes.readUInt32BE(0);
            const kind = bytes.readUInt8(kindOffset);
            if (length > maximumPayloadBytes || !kinds.has(kind)) {
                return Err("A frame of a tunnel is too long or of an unknown kind.");
            }
            if (bytes.length < payloadOffset + length) {
                break;
            }
            const payload = bytes.subarray(payloadOffset, payloadOffset + length);
            frames.push({ kind: kind as TunnelFrameKind, payload });
            bytes = bytes.subarray(payloadOffset + length);
        }
        this.rest = bytes;
        return Ok(frames);
    }
}
